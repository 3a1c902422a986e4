#include "simulated_network.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>

namespace boragehollow::spreading {

namespace {

/// Assumed bytes of the message header, gRPC frame and HTTP/2 headers of one request or reply.
constexpr std::size_t message_overhead = 100;
constexpr std::size_t record_overhead = 12;

std::size_t size_of(const std::vector<log_record>& records) {
    std::size_t bytes = 0;
    for (const log_record& record : records) {
        bytes += record.size() + record_overhead;
    }
    return bytes;
}

} // namespace

simulated_network::simulated_network(std::size_t domains, std::size_t per_domain, std::uint64_t seed)
    : m_random(seed) {
    for (std::size_t i = 0; i < domains * per_domain; ++i) {
        node added;
        added.domain = "d" + std::to_string(i / per_domain);
        added.host = added.domain + "-h" + std::to_string(i % per_domain);
        m_by_host[added.host] = i;
        nodes.push_back(std::move(added));
    }
}

void simulated_network::run_after(milliseconds delay, action run) {
    m_events.push({m_now + delay, m_order++, std::move(run)});
}

void simulated_network::start(std::size_t index) {
    node& self = nodes[index];
    spreading_settings settings;
    settings.host = self.host;
    self.engine = std::make_unique<spreading_engine>(
        settings, common::random_source(m_random.index(1'000'000'000)), m_now);
    ++self.generation;
    self.alive = true;
    self.reading = false;
    self.applied = {};
    self.applied_at.reset();
    self.tick_at.reset();
    schedule_tick(index);
}

void simulated_network::stop(std::size_t index) {
    ++nodes[index].generation;
    nodes[index].alive = false;
    m_transfers.erase(index);
}

void simulated_network::schedule_tick(std::size_t index) {
    node& self = nodes[index];
    const auto due = std::max(self.engine->next_wakeup(), m_now + std::chrono::microseconds(100));
    if (self.tick_at && *self.tick_at <= due && *self.tick_at > m_now) {
        return;
    }
    self.tick_at = due;
    m_events.push({due, m_order++, [this, index, due, generation = self.generation] {
                       node& scheduled_node = nodes[index];
                       if (scheduled_node.generation != generation || scheduled_node.tick_at != due) {
                           return;
                       }
                       scheduled_node.tick_at.reset();
                       perform(index, scheduled_node.engine->tick(m_now));
                       schedule_tick(index);
                   }});
}

peer_view simulated_network::view_of(const node& self,
                                     const std::map<std::string, std::vector<std::string>>& live) const {
    peer_view view;
    std::vector<std::string> all_readers;
    for (const auto& [domain, hosts] : live) {
        const auto readers = common::rendezvous_choices(domain, hosts, 2);
        all_readers.insert(all_readers.end(), readers.begin(), readers.end());
        if (domain != self.domain) {
            view.other_domains.insert(view.other_domains.end(), hosts.begin(), hosts.end());
            continue;
        }
        view.own_domain = hosts;
        std::erase(view.own_domain, self.host);
        view.readers = readers;
        view.log_reader = std::erase(view.readers, self.host) > 0;
    }
    view.compactor = common::rendezvous_choices("compactor", all_readers, 1).front() == self.host;
    return view;
}

void simulated_network::update_views() {
    std::map<std::string, std::vector<std::string>> live;
    for (const node& each : nodes) {
        if (each.alive) {
            live[each.domain].push_back(each.host);
        }
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].alive) {
            perform(i, nodes[i].engine->members_changed(view_of(nodes[i], live), m_now));
            schedule_tick(i);
        }
    }
}

void simulated_network::run_for(milliseconds span) {
    const steady_time end = m_now + span;
    while (!m_events.empty() && m_events.top().time <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.time;
        next.run();
    }
    m_now = end;
}

revision simulated_network::append(std::size_t bytes) {
    const revision offset{m_log.size() + 1};
    m_log.push_back({offset, std::make_shared<const std::string>(bytes, 'x')});
    m_last_append = m_now;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes[i].applied_at.reset();
        if (nodes[i].alive && nodes[i].reading) {
            read_platform(i, revision{offset.value - 1});
        }
    }
    return offset;
}

std::size_t simulated_network::count(const std::function<bool(const node&)>& wanted) const {
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), wanted));
}

bool simulated_network::converged() const {
    return count([&](const node& n) {
               return n.alive && !(n.engine->ready() && n.applied.value == m_log.size());
           }) == 0;
}

std::optional<milliseconds> simulated_network::convergence() const {
    steady_time last = m_last_append;
    for (const node& each : nodes) {
        if (each.alive && !each.applied_at) {
            return std::nullopt;
        }
        last = each.alive ? std::max(last, *each.applied_at) : last;
    }
    return std::chrono::duration_cast<milliseconds>(last - m_last_append);
}

bool simulated_network::reachable(const node& from, const node& to) {
    const bool same_domain = from.domain == to.domain;
    const bool partitioned = !same_domain && (partitioned_domains.contains(from.domain) ||
                                              partitioned_domains.contains(to.domain));
    return to.alive && !partitioned && m_random.fraction() >= loss;
}

void simulated_network::send(std::size_t from, const std::string& to, std::size_t bytes,
                             std::function<void(std::size_t)> receive, const action& lost) {
    stats.bytes += bytes + message_overhead;
    const std::size_t target = m_by_host.at(to);
    if (!reachable(nodes[from], nodes[target])) {
        // A dead host does not refuse the connection, so the sender waits until its timeout.
        lost();
        return;
    }
    const std::uint64_t generation = nodes[target].generation;
    const milliseconds latency(1 + static_cast<int>(m_random.index(4)));
    run_after(latency, [this, target, generation, receive = std::move(receive)] {
        if (nodes[target].generation == generation) {
            receive(target);
            schedule_tick(target);
        }
    });
}

void simulated_network::perform_pull(std::size_t index, const pull& request) {
    const std::uint64_t generation = nodes[index].generation;
    const std::string peer = request.peer;
    send(
        index, peer, 40,
        [this, index, generation, request, peer](std::size_t target) {
            const std::uint64_t ticket = m_next_ticket++;
            for (effect& each : nodes[target].engine->pull_received(ticket, request.request, m_now)) {
                auto* reply = std::get_if<send_pull_reply>(&each);
                if (reply == nullptr) {
                    continue;
                }
                std::size_t bytes = 30;
                milliseconds transfer(0);
                if (const auto* records = std::get_if<newer_records>(&reply->content.body)) {
                    bytes += size_of(records->records);
                } else if (std::holds_alternative<encoded_snapshot>(reply->content.body)) {
                    bytes += snapshot_size;
                    transfer = milliseconds(50);
                    ++stats.snapshot_replies;
                    stats.max_concurrent_transfers =
                        std::max(stats.max_concurrent_transfers, ++m_transfers[target]);
                }
                const std::uint64_t target_generation = nodes[target].generation;
                run_after(transfer, [this, target, target_generation, index, generation, bytes, ticket,
                                     transfer, peer, id = request.id, content = reply->content] {
                    if (nodes[target].generation != target_generation) {
                        return;
                    }
                    nodes[target].engine->pull_reply_sent(ticket);
                    m_transfers[target] -= transfer > milliseconds(0) ? 1 : 0;
                    if (nodes[index].generation != generation) {
                        return;
                    }
                    send(
                        target, nodes[index].host, bytes,
                        [this, id, peer, content](std::size_t self) {
                            perform(self, nodes[self].engine->pull_replied(id, peer, content, m_now));
                        },
                        [] {});
                });
            }
        },
        [] {});
}

void simulated_network::apply(std::size_t index, revision version) {
    node& self = nodes[index];
    if (version <= self.applied) {
        ++stats.consistency_violations;
    }
    self.applied = version;
    perform(index, self.engine->applied(version, digest_of(version), m_now));
}

bool simulated_network::platform_reachable(const node& reader) const {
    return platform_up && reader.reads_platform && !partitioned_domains.contains(reader.domain);
}

void simulated_network::read_platform(std::size_t index, revision position) {
    const std::uint64_t generation = nodes[index].generation;
    run_after(milliseconds(3), [this, index, generation, position] {
        node& self = nodes[index];
        if (self.generation != generation || !self.reading) {
            return;
        }
        ++stats.platform_reads;
        if (!platform_reachable(self)) {
            perform(index, self.engine->log_unavailable(m_now));
            run_after(milliseconds(1000), [this, index, generation, position] {
                if (nodes[index].generation == generation) {
                    read_platform(index, position);
                }
            });
            return;
        }
        const std::size_t from = std::max(position.value + 1, first_retained.value) - 1;
        std::vector<log_record> records(
            m_log.begin() + static_cast<std::ptrdiff_t>(std::min(from, m_log.size())), m_log.end());
        perform(index, self.engine->records_read(records, m_now));
        perform(index, self.engine->log_end_reached({first_retained, revision{m_log.size() + 1}}, m_now));
        schedule_tick(index);
    });
}

void simulated_network::read_snapshot(std::size_t index) {
    const std::uint64_t generation = nodes[index].generation;
    run_after(milliseconds(20), [this, index, generation] {
        if (nodes[index].generation != generation) {
            return;
        }
        ++stats.platform_snapshots;
        const bool found = platform_reachable(nodes[index]) && platform_snapshot;
        perform(index, found ? nodes[index].engine->snapshot_read(*platform_snapshot, m_now)
                             : nodes[index].engine->snapshot_read_failed(m_now));
    });
}

void simulated_network::perform(std::size_t index, effects list) {
    node& self = nodes[index];
    for (effect& each : list) {
        const auto run = common::overloaded{
            [&](const push& out) {
                for (const std::string& peer : out.peers) {
                    stats.push_bytes += size_of(out.records) + message_overhead;
                    send(
                        index, peer, size_of(out.records),
                        [this, from = self.host, out](std::size_t target) {
                            perform(target, nodes[target].engine->push_received(from, out.records, m_now));
                        },
                        [] {});
                }
            },
            [&](const pull& out) { perform_pull(index, out); },
            [&](const send_pull_reply&) {},
            [&](const apply_records& out) {
                for (const log_record& record : out.records) {
                    stats.consistency_violations += record.offset == self.applied.next() ? 0 : 1;
                    apply(index, record.offset);
                }
            },
            [&](const apply_snapshot& out) { apply(index, out.snapshot.version); },
            [&](const request_platform_snapshot&) { read_snapshot(index); },
            [&](const append_snapshot& out) {
                platform_snapshot = encoded_snapshot{out.version, digest_of(out.version), nullptr};
                perform(index, self.engine->snapshot_appended(out.version, m_now));
            },
            [&](const log_reading_changed& out) {
                self.reading = out.active;
                if (out.active) {
                    read_platform(index, out.position);
                }
            },
            [](const readiness_changed&) {},
            [&](const digest_mismatch&) { ++stats.consistency_violations; },
        };
        std::visit(run, each);
    }
    if (!self.engine->ready()) {
        return;
    }
    stats.consistency_violations += self.applied < self.max_served_version ? 1 : 0;
    self.max_served_version = std::max(self.max_served_version, self.applied);
    if (!self.applied_at && self.applied.value == m_log.size()) {
        self.applied_at = m_now;
    }
}

} // namespace boragehollow::spreading
