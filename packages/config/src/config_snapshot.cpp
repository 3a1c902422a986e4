#include "boragehollow/config/config_snapshot.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/common/rendezvous.hpp"
#include "boragehollow/config/limits.hpp"

#include <string_view>
#include <utility>

namespace boragehollow::config {

std::uint64_t key_priority::operator()(const resource_key& key) const {
    return common::stable_hash(key.name, static_cast<std::uint64_t>(key.kind));
}

std::uint64_t key_priority::operator()(const std::string& text) const {
    return common::stable_hash(text);
}

std::uint64_t key_priority::operator()(revision value) const {
    const std::string_view bytes(reinterpret_cast<const char*>(&value.value), sizeof value.value);
    return common::stable_hash(bytes);
}

bool config_snapshot::has_service(const std::string& name) const {
    return resources.find({resource_kind::service_policy, name}) != nullptr;
}

const change_outcome* config_snapshot::outcome_of(const std::string& change_id) const {
    const revision* at = m_outcome_index.find(change_id);
    return at == nullptr ? nullptr : m_outcomes.find(*at);
}

void config_snapshot::add_outcome(change_outcome outcome) {
    const revision at = outcome.at;
    m_outcome_index = m_outcome_index.insert(outcome.change_id, at);
    m_outcomes = m_outcomes.insert(at, std::move(outcome));
    while (m_outcomes.size() > max_outcomes) {
        const auto& [oldest, removed] = *m_outcomes.begin();
        m_outcome_index = m_outcome_index.erase(removed.change_id);
        m_outcomes = m_outcomes.erase(revision{oldest});
    }
}

std::vector<std::string> referenced_services(const resource& value) {
    using names = std::vector<std::string>;
    return std::visit(common::overloaded{
                          [](const route& item) {
                              names result{item.service};
                              for (const weighted_backend& backend : item.backends) {
                                  result.push_back(backend.service);
                              }
                              return result;
                          },
                          [](const service_policy&) { return names{}; },
                          [](const target_rule& item) { return names{item.service}; },
                      },
                      value);
}

} // namespace boragehollow::config
