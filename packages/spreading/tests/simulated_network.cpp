#include "simulated_network.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>

namespace boragehollow::spreading {

namespace {

/// Message header, gRPC frame and HTTP/2 headers of one request or answer: an assumption for the figures.
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

void simulated_network::at(milliseconds delay, action run) {
    m_events.push({m_now + delay, m_order++, std::move(run)});
}

void simulated_network::start(std::size_t index) {
    node& self = nodes[index];
    spreading_settings settings;
    settings.host = self.host;
    self.engine = std::make_unique<spreading_engine>(
        settings, common::random_source(m_random.index(1'000'000'000)), m_now);
    ++self.life;
    self.alive = true;
    self.reading = false;
    self.applied = {};
    self.in_force.reset();
    self.wake_at.reset();
    wake(index);
}

void simulated_network::stop(std::size_t index) {
    ++nodes[index].life;
    nodes[index].alive = false;
    m_transfers.erase(index);
}

void simulated_network::wake(std::size_t index) {
    node& self = nodes[index];
    const auto due = std::max(self.engine->next_wakeup(), m_now + std::chrono::microseconds(100));
    if (self.wake_at && *self.wake_at <= due && *self.wake_at > m_now) {
        return;
    }
    self.wake_at = due;
    m_events.push({due, m_order++, [this, index, due, life = self.life] {
                       node& woken = nodes[index];
                       if (woken.life != life || woken.wake_at != due) {
                           return;
                       }
                       woken.wake_at.reset();
                       perform(index, woken.engine->tick(m_now));
                       wake(index);
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
            wake(i);
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
        nodes[i].in_force.reset();
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
        if (each.alive && !each.in_force) {
            return std::nullopt;
        }
        last = each.alive ? std::max(last, *each.in_force) : last;
    }
    return std::chrono::duration_cast<milliseconds>(last - m_last_append);
}

bool simulated_network::reachable(const node& from, const node& to) {
    const bool same_domain = from.domain == to.domain;
    const bool cut = !same_domain && (cut_domains.contains(from.domain) || cut_domains.contains(to.domain));
    return to.alive && !cut && m_random.fraction() >= loss;
}

void simulated_network::send(std::size_t from, const std::string& to, std::size_t bytes,
                             std::function<void(std::size_t)> receive, const action& lost) {
    counted.bytes += bytes + message_overhead;
    const std::size_t target = m_by_host.at(to);
    if (!reachable(nodes[from], nodes[target])) {
        // A dead host does not refuse the connection; the sender's own time limit ends the wait.
        lost();
        return;
    }
    const std::uint64_t life = nodes[target].life;
    const milliseconds latency(1 + static_cast<int>(m_random.index(4)));
    at(latency, [this, target, life, receive = std::move(receive)] {
        if (nodes[target].life == life) {
            receive(target);
            wake(target);
        }
    });
}

void simulated_network::perform_pull(std::size_t index, const pull& request) {
    const std::uint64_t life = nodes[index].life;
    const std::string peer = request.peer;
    send(
        index, peer, 40,
        [this, index, life, request, peer](std::size_t target) {
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
                    ++counted.snapshot_answers;
                    counted.most_transfers_of_one =
                        std::max(counted.most_transfers_of_one, ++m_transfers[target]);
                }
                const std::uint64_t target_life = nodes[target].life;
                at(transfer, [this, target, target_life, index, life, bytes, ticket, transfer, peer,
                              id = request.id, content = reply->content] {
                    if (nodes[target].life != target_life) {
                        return;
                    }
                    nodes[target].engine->pull_reply_sent(ticket);
                    m_transfers[target] -= transfer > milliseconds(0) ? 1 : 0;
                    if (nodes[index].life != life) {
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
        ++counted.g1_violations;
    }
    self.applied = version;
    perform(index, self.engine->applied(version, digest_of(version), m_now));
}

bool simulated_network::platform_reachable(const node& reader) const {
    return platform_up && reader.reads_platform && !cut_domains.contains(reader.domain);
}

void simulated_network::read_platform(std::size_t index, revision position) {
    const std::uint64_t life = nodes[index].life;
    at(milliseconds(3), [this, index, life, position] {
        node& self = nodes[index];
        if (self.life != life || !self.reading) {
            return;
        }
        ++counted.platform_reads;
        if (!platform_reachable(self)) {
            perform(index, self.engine->log_unavailable(m_now));
            at(milliseconds(1000), [this, index, life, position] {
                if (nodes[index].life == life) {
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
        wake(index);
    });
}

void simulated_network::read_snapshot(std::size_t index) {
    const std::uint64_t life = nodes[index].life;
    at(milliseconds(20), [this, index, life] {
        if (nodes[index].life != life) {
            return;
        }
        ++counted.platform_snapshots;
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
                    counted.push_bytes += size_of(out.records) + message_overhead;
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
                    counted.g1_violations += record.offset == self.applied.next() ? 0 : 1;
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
            [&](const digest_mismatch&) { ++counted.g1_violations; },
        };
        std::visit(run, each);
    }
    if (!self.engine->ready()) {
        return;
    }
    counted.g1_violations += self.applied < self.highest_served ? 1 : 0;
    self.highest_served = std::max(self.highest_served, self.applied);
    if (!self.in_force && self.applied.value == m_log.size()) {
        self.in_force = m_now;
    }
}

} // namespace boragehollow::spreading
