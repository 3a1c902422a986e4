#include "svg_chart.hpp"

#include <algorithm>
#include <array>
#include <fstream>

namespace boragehollow::measure {

namespace {

constexpr double width = 640;
constexpr double height = 400;
constexpr double margin = 60;
constexpr std::array<const char*, 6> colours{"#1b6ca8", "#c0392b", "#2e8b57",
                                             "#8e44ad", "#d68910", "#566573"};

struct extent {
    double x = 0;
    double y = 0;
};

/// Largest x and y of all points; 1 where no value is positive, so that scaling never divides by zero.
extent extent_of(const chart& drawing) {
    extent maximum;
    for (const chart_series& series : drawing.series) {
        for (const auto& [x, y] : series.points) {
            maximum.x = std::max(maximum.x, x);
            maximum.y = std::max(maximum.y, y);
        }
    }
    return {maximum.x > 0 ? maximum.x : 1, maximum.y > 0 ? maximum.y : 1};
}

void write_text(std::ofstream& file, double x, double y, const std::string& anchor, const std::string& text) {
    file << "<text x='" << x << "' y='" << y << "' text-anchor='" << anchor << "'>" << text << "</text>\n";
}

} // namespace

bool write_svg(const chart& drawing, const std::filesystem::path& file_name) {
    std::ofstream file(file_name, std::ios::trunc);
    const extent maximum = extent_of(drawing);
    const auto to_pixel_x = [&](double x) { return margin + x / maximum.x * (width - 2 * margin); };
    const auto to_pixel_y = [&](double y) { return height - margin - y / maximum.y * (height - 2 * margin); };
    file << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
         << "' font-family='sans-serif' font-size='12'>\n<rect width='100%' height='100%' fill='white'/>\n";
    write_text(file, width / 2, margin / 2, "middle", drawing.title);
    write_text(file, width / 2, height - margin / 4, "middle", drawing.x_label);
    write_text(file, margin, margin - 8, "middle", drawing.y_label);
    constexpr int ticks = 4;
    for (int tick = 0; tick <= ticks; ++tick) {
        const double fraction = static_cast<double>(tick) / ticks;
        const double y = to_pixel_y(fraction * maximum.y);
        file << "<line x1='" << margin << "' x2='" << width - margin << "' y1='" << y << "' y2='" << y
             << "' stroke='#dddddd'/>\n";
        write_text(file, margin - 6, y + 4, "end", std::to_string(fraction * maximum.y).substr(0, 6));
        write_text(file, to_pixel_x(fraction * maximum.x), height - margin + 16, "middle",
                   std::to_string(fraction * maximum.x).substr(0, 6));
    }
    for (std::size_t i = 0; i < drawing.series.size(); ++i) {
        const char* const colour = colours.at(i % colours.size());
        file << "<polyline fill='none' stroke-width='2' stroke='" << colour << "' points='";
        for (const auto& [x, y] : drawing.series.at(i).points) {
            file << to_pixel_x(x) << ',' << to_pixel_y(y) << ' ';
        }
        file << "'/>\n";
        const double y = margin + 16.0 * static_cast<double>(i);
        file << "<rect x='" << width - margin - 150 << "' y='" << y - 9 << "' width='10' height='10' fill='"
             << colour << "'/>\n";
        write_text(file, width - margin - 135, y, "start", drawing.series.at(i).name);
    }
    file << "</svg>\n";
    return file.good();
}

} // namespace boragehollow::measure
