#include "figures.hpp"

#include "boragehollow/common/time.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace boragehollow::measure {

namespace {

std::string number(double value) {
    std::array<char, 32> text{};
    const double size = std::abs(value);
    const int decimals = size >= 1'000 ? 0 : size >= 10 ? 1 : size >= 1 ? 2 : 4;
    std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
    return text.data();
}

std::string ratio_text(const figure& each) {
    if (each.baseline.empty() || each.product.empty() || median(each.baseline) == 0) {
        return "-";
    }
    return number(median(each.product) / median(each.baseline));
}

std::string range_text(const std::vector<double>& values) {
    if (values.empty()) {
        return "-";
    }
    const auto [min, max] = std::minmax_element(values.begin(), values.end());
    return number(*min) + ".." + number(*max) + " (" + std::to_string(values.size()) + ")";
}

} // namespace

double percentile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values.at(std::clamp<std::size_t>(rank, 1, values.size()) - 1);
}

double median(const std::vector<double>& values) {
    return percentile(values, 0.5);
}

void figure_table::add(measured_system system, const std::string& name, const std::string& unit,
                       double value) {
    auto found = std::find_if(m_figures.begin(), m_figures.end(),
                              [&](const figure& each) { return each.name == name; });
    if (found == m_figures.end()) {
        found = m_figures.insert(m_figures.end(), figure{name, unit, {}, {}});
    }
    (system == measured_system::product ? found->product : found->baseline).push_back(value);
}

std::vector<double> figure_table::values(measured_system system, const std::string& name) const {
    for (const figure& each : m_figures) {
        if (each.name == name) {
            return system == measured_system::product ? each.product : each.baseline;
        }
    }
    return {};
}

void figure_table::print(std::ostream& output) const {
    output << "name  product  baseline  ratio  unit  spread\n";
    for (const figure& each : m_figures) {
        const std::string baseline = each.baseline.empty() ? "-" : number(median(each.baseline));
        output << each.name << "  " << number(median(each.product)) << "  " << baseline << "  "
               << ratio_text(each) << "  " << each.unit << "  " << range_text(each.product) << '\n';
    }
    output.flush();
}

std::string figure_table::json(const std::string& command) const {
    nlohmann::json list = nlohmann::json::array();
    for (const figure& each : m_figures) {
        list.push_back({{"name", each.name},
                        {"unit", each.unit},
                        {"product", each.product},
                        {"baseline", each.baseline}});
    }
    const auto since_epoch = common::wall_now().time_since_epoch();
    return nlohmann::json{
        {"command", command},
        {"unix_seconds", std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count()},
        {"figures", list}}
        .dump(2);
}

} // namespace boragehollow::measure
