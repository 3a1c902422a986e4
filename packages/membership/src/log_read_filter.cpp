#include "boragehollow/membership/log_read_filter.hpp"

namespace boragehollow::membership {

bool log_read_filter::accept(const std::string& reader, const log_read& read) {
    const auto [known, is_first] = m_last.try_emplace(reader);
    known_read& last = known->second;
    const bool is_known = !is_first && last.process == read.process && read.sequence <= last.sequence;
    if (is_known) {
        return false;
    }
    last = {read.process, read.sequence};
    return true;
}

} // namespace boragehollow::membership
