#include <parsleypitch/admission/generation_admission.hpp>

#include <algorithm>

namespace parsleypitch {

admission_decision decide_admission(const generation_estimate& estimate, duration time_to_target,
                                    duration shortest_target, const admission_policy& policy) {
    const double wait = to_seconds(estimate.engine_wait);
    const double first_token = to_seconds(estimate.first_token);
    const double limit = policy.engine_wait_share * to_seconds(shortest_target);
    const double time_left = to_seconds(time_to_target) * policy.target_share;
    const bool in_time = first_token <= time_left;
    const bool small = to_seconds(estimate.work) <= policy.small_work_share * limit;
    if (wait <= limit * (in_time || small ? 1 : policy.late_wait_share)) {
        return admission_decision::start;
    }
    const bool can_be_in_time = first_token - wait <= time_left;
    return can_be_in_time ? admission_decision::hold : admission_decision::hold_late;
}

double aged_wait_factor(const generation_estimate& estimate, duration elapsed, duration target,
                        duration limit, const admission_policy& policy) {
    const duration unqueued = estimate.first_token - estimate.engine_wait;
    const double slack = to_seconds(target) * policy.target_share - to_seconds(unqueued + limit);
    const double aged = slack <= 0 ? 1 : std::clamp(to_seconds(elapsed) / slack, 0.0, 1.0);
    return policy.new_wait_factor + (policy.due_wait_factor - policy.new_wait_factor) * aged;
}

} // namespace parsleypitch
