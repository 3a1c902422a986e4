#include "simulated_network.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <utility>

namespace boragehollow::membership::testing {

simulated_network::node& simulated_network::start(const std::string& host, const std::string& domain,
                                                  const std::vector<common::endpoint>& seeds) {
    auto created = std::make_unique<node>();
    created->host = host;
    created->domain = domain;
    const std::string address =
        "10.0." + std::to_string(m_last_port % 250) + "." + std::to_string(m_last_port / 250);
    created->address = {address, ++m_last_port};
    const auto wall =
        m_wall_start + std::chrono::duration_cast<std::chrono::microseconds>(m_now.time_since_epoch());
    member self{host, domain, created->address, created->address, first_incarnation(wall)};
    self.target = {
        "service-" + std::to_string(m_last_port % 34), {{"version", "v1"}}, 6, target_state::ready};
    created->engine = std::make_unique<membership_engine>(
        self, seeds, m_settings, common::random_source(m_random.index(1U << 30U)), m_now);
    node& added = *created;
    if (m_nodes.contains(host)) {
        kill(host);
        m_replaced_nodes.push_back(std::move(m_nodes.at(host)));
    }
    m_nodes[host] = std::move(created);
    m_by_address[added.address] = &added;
    schedule(added);
    return added;
}

void simulated_network::start_domain(const std::string& domain, std::size_t count) {
    const common::endpoint seed = start(domain + "-0", domain).address;
    for (std::size_t i = 1; i < count; ++i) {
        start(domain + "-" + std::to_string(i), domain, {seed});
    }
}

std::vector<simulated_network::node*> simulated_network::running() {
    std::vector<node*> found;
    for (const auto& [host, item] : m_nodes) {
        if (item->running) {
            found.push_back(item.get());
        }
    }
    return found;
}

void simulated_network::kill(const std::string& host) {
    at(host).running = false;
    at(host).engine.reset();
}

void simulated_network::resume(const std::string& host) {
    node& resumed = at(host);
    resumed.paused = false;
    for (const auto& action : std::exchange(resumed.deferred, {})) {
        action();
    }
    resumed.scheduled = common::steady_time::max();
    schedule(resumed);
}

void simulated_network::run_for(std::chrono::milliseconds span) {
    const common::steady_time end = m_now + span;
    while (!m_events.empty() && m_events.top().at <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        next.action();
    }
    m_now = end;
}

std::chrono::milliseconds simulated_network::run_until(const std::function<bool()>& done,
                                                       std::chrono::milliseconds limit) {
    const common::steady_time start = m_now;
    while (!done() && m_now - start < limit) {
        run_for(std::chrono::milliseconds(10));
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start);
}

void simulated_network::run_after(std::chrono::milliseconds delay, std::function<void()> action) {
    m_events.push({m_now + delay, ++m_last_event_order, std::move(action)});
}

void simulated_network::schedule(node& scheduled_node) {
    if (scheduled_node.passive) {
        return;
    }
    const common::steady_time due = std::max(scheduled_node.engine->next_wakeup(), m_now);
    if (due >= scheduled_node.scheduled) {
        return;
    }
    scheduled_node.scheduled = due;
    m_events.push({due, ++m_last_event_order, [this, &scheduled_node, due] {
                       if (!scheduled_node.running || scheduled_node.paused || scheduled_node.passive ||
                           scheduled_node.scheduled != due) {
                           return;
                       }
                       scheduled_node.scheduled = common::steady_time::max();
                       perform(scheduled_node, scheduled_node.engine->tick(m_now));
                   }});
}

void simulated_network::perform(node& from, membership_effects effects) {
    for (membership_effect& effect : effects) {
        std::visit(common::overloaded{
                       [&](const send_datagram& sent) { deliver(from, sent); },
                       [&](const start_sync& wanted) { synchronize(from, wanted); },
                       [&](const directory_changed&) {},
                       [&](const substitution_changed&) {},
                       [&](const member_event& reported) { from.events.push_back(reported); },
                       [&](const own_withdrawals_received& received) {
                           from.told.insert(from.told.end(), received.withdrawn.begin(),
                                            received.withdrawn.end());
                       },
                   },
                   effect);
    }
    schedule(from);
}

simulated_network::node* simulated_network::find(const common::endpoint& address) {
    const auto found = m_by_address.find(address);
    return found == m_by_address.end() ? route(address) : found->second;
}

void simulated_network::deliver(node& from, const send_datagram& sent) {
    const std::size_t bytes = datagram_size(sent.value) + udp_overhead;
    from.datagram_bytes += bytes;
    node* to = find(sent.to);
    const bool lost = loss > 0 && m_random.fraction() < loss;
    if (to == nullptr || lost || !reachable(from, *to)) {
        return;
    }
    to->received_bytes += bytes;
    const auto handle = [this, to, value = sent.value, source = from.address] {
        if (to->running) {
            perform(*to, to->engine->receive(value, source, m_now));
        }
    };
    run_after(latency, [to, handle] {
        if (to->paused) {
            to->deferred.push_back(handle);
            return;
        }
        handle();
    });
}

std::size_t simulated_network::bytes_of(const std::vector<member_ref>& members) {
    std::size_t bytes = 0;
    for (const member_ref& value : members) {
        bytes += estimated_size(*value);
    }
    return bytes;
}

void simulated_network::synchronize(node& from, const start_sync& wanted) {
    node* to = find(wanted.peer);
    if (to != nullptr) {
        exchange(from, *to, from.engine->begin_sync());
    }
}

void simulated_network::exchange(node& from, node& to, sync_request request) {
    if (!reachable(from, to) || to.paused) {
        return;
    }
    const std::size_t request_bytes = grpc_overhead + bytes_of(request.members) +
                                      8 * (request.bucket_hashes.size() + request.wanted_entries.size());
    from.sync_bytes += request_bytes;
    to.received_bytes += request_bytes;
    run_after(latency, [this, &from, &to, request = std::move(request)] {
        if (!reachable(from, to) || to.paused) {
            return;
        }
        sync_request_result result = to.engine->handle_sync_request(request, m_now);
        perform(to, std::move(result.effects));
        const std::size_t bytes = grpc_overhead + bytes_of(result.reply.members) +
                                  8 * result.reply.entry_hashes.size() +
                                  2 * result.reply.differing_buckets.size();
        to.sync_bytes += bytes;
        from.received_bytes += bytes;
        run_after(latency, [this, &from, &to, reply = std::move(result.reply)] {
            if (!from.running || from.paused) {
                return;
            }
            sync_reply_result next_step = from.engine->handle_sync_reply(reply, m_now);
            perform(from, std::move(next_step.effects));
            if (next_step.next) {
                exchange(from, to, std::move(*next_step.next));
            }
        });
    });
}

void simulated_network::reset_bytes() {
    for (const auto& [host, item] : m_nodes) {
        item->datagram_bytes = 0;
        item->sync_bytes = 0;
        item->received_bytes = 0;
    }
}

std::set<std::string> simulated_network::in_state(const std::string& observer, member_state state) {
    std::set<std::string> hosts;
    for (const member_ref& value : at(observer).engine->members()) {
        if (value->state == state) {
            hosts.insert(value->host);
        }
    }
    return hosts;
}

std::size_t simulated_network::events_of(member_event_kind kind) {
    std::size_t count = 0;
    for (const auto& [host, item] : m_nodes) {
        for (const member_event& reported : item->events) {
            count += reported.kind == kind ? 1 : 0;
        }
    }
    return count;
}

} // namespace boragehollow::membership::testing
