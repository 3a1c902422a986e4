#include "sampler.hpp"

#include "control_api.hpp"
#include "interruptible_wait.hpp"

#include <utility>

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds sample_interval = 200ms;

/// A daemon queries the other failure domains before it responds, and a paused daemon accepts connections
/// without responding.
constexpr std::chrono::milliseconds read_timeout = 1s;

} // namespace

sampler::sampler(std::shared_ptr<const mesh_layout> layout, recorder& samples)
    : m_layout(std::move(layout)), m_samples(samples),
      m_duty("sampler", [this](const std::stop_token& stop) { run(stop); }) {}

void sampler::run(const std::stop_token& stop) {
    do {
        for (const daemon_endpoints& daemon : m_layout->daemons) {
            if (stop.stop_requested()) {
                return;
            }
            if (auto sample = control_api::read_status(daemon.name, daemon.operators, read_timeout)) {
                m_samples.add_sample(std::move(*sample));
            }
        }
    } while (wait_for(stop, sample_interval));
}

} // namespace boragehollow::scenario
