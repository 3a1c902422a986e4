#pragma once

#include "boragehollow/common/duty.hpp"
#include "boragehollow/scenario/mesh_layout.hpp"
#include "recorder.hpp"

#include <memory>

namespace boragehollow::scenario {

/// Duty that periodically reads the status of every daemon, in order to detect a version that decreases
/// temporarily.
class sampler {
public:
    sampler(std::shared_ptr<const mesh_layout> layout, recorder& samples);

private:
    void run(const std::stop_token& stop);

    std::shared_ptr<const mesh_layout> m_layout;
    recorder& m_samples;
    common::duty m_duty;
};

} // namespace boragehollow::scenario
