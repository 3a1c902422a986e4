#pragma once

namespace boragehollow::common {

/// Visitor for `std::visit`, built from one lambda for each alternative.
template <class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};

template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace boragehollow::common
