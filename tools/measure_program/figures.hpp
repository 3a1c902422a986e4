#pragma once

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace boragehollow::measure {

enum class side { product, baseline };

/// One figure with a value for each round.
struct figure {
    std::string name;
    std::string unit;
    std::vector<double> product;
    std::vector<double> baseline; ///< Empty when the figure has no baseline.
};

/// Figures in the order in which they were first seen.
class figure_table {
public:
    void add(side of, const std::string& name, const std::string& unit, double value);

    /// Values of a figure by round; empty when it is not known.
    std::vector<double> values(side of, const std::string& name) const;

    /// One line for each figure: the medians of the rounds, and the range of the product.
    void print(std::ostream& output) const;
    std::string json(const std::string& command) const;

private:
    std::vector<figure> m_figures;
};

/// Nearest-rank percentile; 0 without values.
double percentile(std::vector<double> values, double fraction);
double median(const std::vector<double>& values);

} // namespace boragehollow::measure
