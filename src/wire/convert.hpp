#pragma once

#include "parsleypitch.pb.h"

#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/streams/execute.hpp>

namespace parsleypitch::wire {

[[nodiscard]] v1::Rank to_wire(rank r);
[[nodiscard]] rank from_wire(v1::Rank r);
[[nodiscard]] v1::RunState to_wire(run_state s);
[[nodiscard]] run_state from_wire(v1::RunState s);

[[nodiscard]] v1::Load to_wire(const backend_load_report& load, time_point now);
[[nodiscard]] backend_load_report from_wire(const v1::Load& load, time_point now);

[[nodiscard]] v1::EngineState to_wire(const engine_state& state);
[[nodiscard]] engine_state from_wire(const v1::EngineState& state);

[[nodiscard]] v1::MemberRecord to_wire(const member& record, time_point now);
[[nodiscard]] member from_wire(const v1::MemberRecord& record, time_point now);

[[nodiscard]] v1::ExecuteRequest to_wire(const execute_request& request);
[[nodiscard]] execute_request from_wire(const v1::ExecuteRequest& request);

[[nodiscard]] v1::ExecuteEvent to_wire(const execute_event& event, time_point now);
[[nodiscard]] result<execute_event> from_wire(const v1::ExecuteEvent& event, time_point now);

[[nodiscard]] v1::Answer to_wire(const plain_answer& answer);
[[nodiscard]] plain_answer from_wire(const v1::Answer& answer);

} // namespace parsleypitch::wire
