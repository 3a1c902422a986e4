#include "boragehollow/daemon/target_views.hpp"

namespace boragehollow::daemon {

namespace {

balancing::target_view view_of(const membership::target& known) {
    balancing::target_view view;
    view.host = known.host;
    view.failure_domain = known.failure_domain;
    view.peer = known.peer;
    view.labels = known.labels;
    view.slots = known.slots;
    view.first_seen = known.first_seen;
    view.lost_since = known.lost_since;
    switch (known.state) {
    case membership::target_state::ready:
        view.state = balancing::target_state::ready;
        break;
    case membership::target_state::starting:
        view.state = balancing::target_state::starting;
        break;
    case membership::target_state::none:
    case membership::target_state::draining:
    case membership::target_state::gone:
        view.state = balancing::target_state::draining;
        break;
    }
    return view;
}

} // namespace

std::vector<balancing::target_view> target_views(const membership::target_list& targets) {
    std::vector<balancing::target_view> views;
    views.reserve(targets.size());
    for (const membership::target& known : targets) {
        views.push_back(view_of(known));
    }
    return views;
}

} // namespace boragehollow::daemon
