#include "forwarding/forwarded_request.hpp"

#include <algorithm>

// Quarantine of requests and prompt parts: evidence, reports and the requests concerned.

namespace parsleypitch {

namespace detail {

/// Pause between reports that repeat evidence and quarantines.
constexpr milliseconds quarantine_report_period{500};

std::string cause_names(const std::set<crash_cause>& causes) {
    std::string names;
    for (const crash_cause cause : causes) {
        names.append(names.empty() ? "" : ",").append(std::to_string(cause.value()));
    }
    return names;
}

} // namespace detail

void forwarder::state::note_crash(const crash_evidence& evidence) {
    const auto begun = quarantine.note_crash(evidence, hooks.now());
    for (const quarantined_causes& each : begun) {
        hooks.record_quarantine(each);
    }
    on_quarantines_begun(begun, "own evidence");
    report_quarantine();
}

void forwarder::state::note_quarantine_report(const quarantine_report& report) {
    on_quarantines_begun(quarantine.note_report(report, hooks.now()), "report of a host");
    report_quarantine();
}

void forwarder::state::on_quarantines_begun(const std::vector<quarantined_causes>& begun,
                                            std::string_view source) {
    if (begun.empty()) {
        return;
    }
    for (const quarantined_causes& each : begun) {
        const bool request = std::any_of(each.causes.begin(), each.causes.end(), is_request);
        log->warning(request ? "request_quarantined" : "prompt_parts_quarantined",
                     {{request ? "identity" : "parts", detail::cause_names(each.causes)},
                      {"source", source},
                      {"remaining_ms", each.remaining}});
        count("parsleypitch_quarantines_total", {});
    }
    const auto open = requests;
    for (const auto& request : open) {
        request->end_if_quarantined();
    }
}

void forwarder::state::report_quarantine() {
    if (!quarantine.has_fresh_items() || quarantine_report_timer) {
        return;
    }
    hooks.report_pending();
    quarantine_report_timer = hooks.start_timer(detail::quarantine_report_period, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->quarantine_report_timer = nullptr;
            self->report_quarantine();
        }
    });
}

work_report forwarder::heartbeat() {
    work_report report;
    report.quarantine.quarantined = m_state->quarantine.next_reported(m_state->hooks.now());
    report.configuration = m_state->configuration_in_force();
    return report;
}

std::vector<quarantined_causes> forwarder::quarantined() const {
    return m_state->quarantine.quarantined(m_state->hooks.now());
}

void forwarder::adopt(const std::vector<quarantined_causes>& recorded) {
    for (const quarantined_causes& each : recorded) {
        m_state->on_quarantines_begun(m_state->quarantine.adopt(each, m_state->hooks.now()), "store");
    }
}

} // namespace parsleypitch
