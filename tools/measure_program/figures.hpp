#pragma once

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace boragehollow::measure {

/// What a figure was measured on: the product, or the baseline that it is compared with.
enum class measured_system { product, baseline };

/// A measured quantity with one value per round.
struct figure {
    std::string name;
    std::string unit;
    std::vector<double> product;
    std::vector<double> baseline; ///< Empty if there is no baseline for this figure.
};

/// All figures of a run, in the order in which they were first added.
class figure_table {
public:
    void add(measured_system system, const std::string& name, const std::string& unit, double value);

    /// Values of a figure by round; empty if the figure does not exist.
    std::vector<double> values(measured_system system, const std::string& name) const;

    /// Prints a line for each figure: the medians over the rounds, and the range of the product's values.
    void print(std::ostream& output) const;
    std::string json(const std::string& command) const;

private:
    std::vector<figure> m_figures;
};

/// Nearest-rank percentile; 0 if `values` is empty.
double percentile(std::vector<double> values, double fraction);
double median(const std::vector<double>& values);

} // namespace boragehollow::measure
