#pragma once

#include <filesystem>
#include <string>
#include <utility>
#include <vector>

namespace boragehollow::measure {

struct chart_series {
    std::string name;
    std::vector<std::pair<double, double>> points;
};

struct chart {
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<chart_series> series;
};

/// Writes a line chart; returns false if the file cannot be written.
bool write_svg(const chart& drawing, const std::filesystem::path& file);

} // namespace boragehollow::measure
