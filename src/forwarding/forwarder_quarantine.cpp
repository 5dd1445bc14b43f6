#include "forwarding/forwarded_request.hpp"

// Quarantine of prompt parts: evidence, reports and the requests concerned.

namespace parsleypitch {

namespace detail {

/// Pause between reports that repeat evidence and quarantines.
constexpr milliseconds quarantine_report_period{500};

std::string part_names(const std::set<prompt_part_key>& parts) {
    std::string names;
    for (const prompt_part_key part : parts) {
        names.append(names.empty() ? "" : ",").append(std::to_string(part.value()));
    }
    return names;
}

} // namespace detail

void forwarder::state::note_crash(const crash_evidence& evidence) {
    if (quarantine.note_crash(evidence, hooks.now())) {
        hooks.record_quarantine(quarantine.quarantined(hooks.now()).back());
        on_quarantine_begun("own evidence");
    }
    report_quarantine();
}

void forwarder::state::note_quarantine_report(const quarantine_report& report) {
    if (quarantine.note_report(report, hooks.now())) {
        on_quarantine_begun("report of a host");
    }
    report_quarantine();
}

void forwarder::state::on_quarantine_begun(std::string_view source) {
    const quarantined_parts newest = quarantine.quarantined(hooks.now()).back();
    log->warning("prompt_parts_quarantined", {{"parts", detail::part_names(newest.parts)},
                                              {"source", source},
                                              {"remaining_ms", newest.remaining}});
    count("parsleypitch_quarantines_total", {});
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

std::vector<quarantined_parts> forwarder::quarantined() const {
    return m_state->quarantine.quarantined(m_state->hooks.now());
}

void forwarder::adopt(const std::vector<quarantined_parts>& recorded) {
    for (const quarantined_parts& each : recorded) {
        if (m_state->quarantine.adopt(each, m_state->hooks.now())) {
            m_state->on_quarantine_begun("store");
        }
    }
}

} // namespace parsleypitch
