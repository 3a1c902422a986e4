#include "boragehollow/config/config_state.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/common/rendezvous.hpp"
#include "boragehollow/common/truncate.hpp"
#include "boragehollow/config/validation.hpp"

#include <array>
#include <set>
#include <string_view>
#include <utility>

namespace boragehollow::config {

namespace {

using apply_result = tl::expected<void, rejected>;

std::string path_of(std::size_t index, std::string_view part) {
    return "operations[" + std::to_string(index) + "]." + std::string(part);
}

tl::unexpected<rejected> make_revision_conflict(std::size_t index, const resource_key& key, revision expected,
                                                const stored_resource* found) {
    const std::string actual =
        found == nullptr ? "it does not exist" : "it has revision " + std::to_string(found->changed_at.value);
    return tl::unexpected(rejected{rejection_reason::revision_conflict,
                                   "expected revision " + std::to_string(expected.value) + ", but " + actual,
                                   path_of(index, "expected_revision"), key});
}

/// Applies one operation to `next`. Expected revisions refer to the state before the whole change; `next` has
/// the same revisions, because a change has at most one operation on each resource.
class operation_applier {
public:
    operation_applier(std::size_t index, revision at, config_snapshot& next)
        : m_index(index), m_at(at), m_next(next) {}

    apply_result operator()(const put_operation& put) const {
        const resource_key key = key_of(put.value);
        const stored_resource* found = m_next.find(key);
        const revision current = found == nullptr ? revision{} : found->changed_at;
        if (put.expected && *put.expected != current) {
            return make_revision_conflict(m_index, key, *put.expected, found);
        }
        m_next.resources = m_next.resources.insert(key, stored_resource{put.value, m_at});
        return {};
    }

    apply_result operator()(const delete_operation& removal) const {
        const stored_resource* found = m_next.find(removal.key);
        const revision current = found == nullptr ? revision{} : found->changed_at;
        if (removal.expected && *removal.expected != current) {
            return make_revision_conflict(m_index, removal.key, *removal.expected, found);
        }
        if (found == nullptr) {
            return tl::unexpected(rejected{rejection_reason::not_found, "the resource does not exist",
                                           path_of(m_index, "delete"), removal.key});
        }
        m_next.resources = m_next.resources.erase(removal.key);
        return {};
    }

    apply_result operator()(const activate_schema_operation& activation) const {
        if (activation.schema != m_next.active_schema + 1) {
            return tl::unexpected(rejected{rejection_reason::invalid_field,
                                           "the active schema can only be incremented by one, to " +
                                               std::to_string(m_next.active_schema + 1),
                                           path_of(m_index, "activate_schema"),
                                           {}});
        }
        m_next.active_schema = activation.schema;
        return {};
    }

private:
    std::size_t m_index;
    revision m_at;
    config_snapshot& m_next;
};

/// Finds a reference of a put resource to a service that does not exist.
std::optional<rejected> find_dangling_put(const change& record, const config_snapshot& next) {
    for (std::size_t i = 0; i < record.operations.size(); ++i) {
        const auto* put = std::get_if<put_operation>(&record.operations[i]);
        if (put == nullptr) {
            continue;
        }
        for (const std::string& service : referenced_services(put->value)) {
            if (next.has_service(service)) {
                continue;
            }
            return rejected{rejection_reason::dangling_reference, "there is no service policy " + service,
                            path_of(i, "put.service"), key_of(put->value)};
        }
    }
    return std::nullopt;
}

/// Finds a remaining reference to a service that the change deletes, in one pass over all resources.
std::optional<rejected> find_dangling_delete(const change& record, const config_snapshot& next) {
    std::set<std::string> deleted;
    for (const operation& step : record.operations) {
        const auto* removal = std::get_if<delete_operation>(&step);
        if (removal != nullptr && removal->key.kind == resource_kind::service_policy) {
            deleted.insert(removal->key.name);
        }
    }
    if (deleted.empty()) {
        return std::nullopt;
    }
    for (const auto& [key, stored] : next.resources) {
        for (const std::string& service : referenced_services(stored.value)) {
            if (!deleted.contains(service)) {
                continue;
            }
            return rejected{rejection_reason::dangling_reference,
                            "the deleted service policy " + service + " is still referenced", "operations",
                            key};
        }
    }
    return std::nullopt;
}

rejected truncated(rejected reason) {
    reason.detail = common::truncate_utf8(reason.detail, max_detail_length);
    reason.field = common::truncate_utf8(reason.field, max_detail_length);
    if (reason.resource && !is_valid_name(reason.resource->name)) {
        reason.resource.reset();
    }
    return reason;
}

void append_number(std::string& buffer, std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) {
        buffer.push_back(static_cast<char>((value >> shift) & 0xffU));
    }
}

} // namespace

std::uint64_t extend_digest(std::uint64_t previous, revision at, const verdict& result) {
    // Details are human-readable texts that may differ between builds, so the digest does not cover them.
    const auto* reason = std::get_if<rejected>(&result);
    std::string buffer;
    append_number(buffer, previous);
    append_number(buffer, at.value);
    append_number(buffer, reason == nullptr ? 0 : 1 + static_cast<std::uint64_t>(reason->reason));
    return common::stable_hash(buffer);
}

config_state::config_state(std::uint32_t newest_schema)
    : m_newest_schema(newest_schema), m_current(std::make_shared<const config_snapshot>()) {}

tl::expected<verdict, apply_error> config_state::apply(revision at, const change& record) {
    if (const auto error = precondition_error(at)) {
        return tl::unexpected(*error);
    }
    config_snapshot next = *m_current;
    verdict result = decide(at, record, next);
    if (auto* reason = std::get_if<rejected>(&result)) {
        *reason = truncated(std::move(*reason));
        next = *m_current;
    }
    const std::vector<field_error> header_errors = validate_header(record);
    const bool id_is_valid = header_errors.empty() || header_errors.front().field != "change_id";
    if (id_is_valid && next.outcome_of(record.change_id) == nullptr) {
        next.add_outcome(
            {record.change_id, at, common::truncate_utf8(record.author, max_identifier_length), result});
    }
    publish(at, result, std::move(next));
    return result;
}

tl::expected<verdict, apply_error> config_state::reject_undecodable(revision at, std::string detail) {
    if (const auto error = precondition_error(at)) {
        return tl::unexpected(*error);
    }
    return reject_record(at, {rejection_reason::undecodable, std::move(detail), "", {}});
}

tl::expected<verdict, apply_error> config_state::reject_oversized(revision at, std::string detail) {
    if (const auto error = precondition_error(at)) {
        return tl::unexpected(*error);
    }
    return reject_record(at, {rejection_reason::oversized, std::move(detail), "", {}});
}

tl::expected<void, apply_error> config_state::restore(std::shared_ptr<const config_snapshot> offered) {
    if (offered->version < m_current->version) {
        return tl::unexpected(not_newer{m_current->version, offered->version});
    }
    if (offered->version == m_current->version) {
        if (offered->digest != m_current->digest) {
            return tl::unexpected(digest_mismatch{offered->version});
        }
        return {};
    }
    if (offered->active_schema > m_newest_schema) {
        m_stopped = unknown_schema{offered->active_schema, m_newest_schema};
        return tl::unexpected(*m_stopped);
    }
    m_current = std::move(offered);
    return {};
}

std::optional<apply_error> config_state::precondition_error(revision at) const {
    if (at <= m_current->version) {
        return not_newer{m_current->version, at};
    }
    if (m_stopped) {
        return *m_stopped;
    }
    return std::nullopt;
}

verdict config_state::decide(revision at, const change& record, config_snapshot& next) const {
    // The id is looked up before the schema is compared, so that the retry of a schema activation is rejected
    // as a duplicate.
    if (const auto errors = validate_header(record); !errors.empty()) {
        return rejected{rejection_reason::invalid_field, errors.front().detail, errors.front().field, {}};
    }
    if (const change_outcome* known = next.outcome_of(record.change_id)) {
        return rejected{rejection_reason::duplicate,
                        "the change was already decided at revision " + std::to_string(known->at.value),
                        "change_id",
                        {}};
    }
    if (record.schema != next.active_schema) {
        return rejected{rejection_reason::schema_mismatch,
                        "the active schema is " + std::to_string(next.active_schema),
                        "schema",
                        {}};
    }
    if (auto error = validate_operations(record)) {
        return *std::move(error);
    }
    for (std::size_t i = 0; i < record.operations.size(); ++i) {
        if (auto done = std::visit(operation_applier(i, at, next), record.operations[i]); !done) {
            return std::move(done).error();
        }
    }
    if (next.resources.size() > max_resources) {
        return rejected{rejection_reason::limit_exceeded,
                        "the configuration would have more than " + std::to_string(max_resources) +
                            " resources",
                        "operations",
                        {}};
    }
    if (auto error = find_dangling_put(record, next)) {
        return *std::move(error);
    }
    if (auto error = find_dangling_delete(record, next)) {
        return *std::move(error);
    }
    return accepted{};
}

verdict config_state::reject_record(revision at, rejected reason) {
    verdict result = truncated(std::move(reason));
    publish(at, result, *m_current);
    return result;
}

void config_state::publish(revision at, const verdict& result, config_snapshot next) {
    next.version = at;
    next.digest = extend_digest(m_current->digest, at, result);
    if (next.active_schema > m_newest_schema) {
        m_stopped = unknown_schema{next.active_schema, m_newest_schema};
    }
    m_current = std::make_shared<const config_snapshot>(std::move(next));
}

} // namespace boragehollow::config
