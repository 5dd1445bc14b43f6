#include "truth.hpp"

namespace parsleypitch::bench {

namespace {

using nlohmann::json;

constexpr std::size_t max_examples = 10;
constexpr std::string_view hold_operation = "hold";

void add_example(consistency_check& check, const std::string& text) {
    if (check.examples.size() < max_examples) {
        check.examples.push_back(text);
    }
}

std::string describe(const call_record& record, const arrival& sent) {
    return std::string(to_string(sent.kind)) + " " + std::to_string(sent.number) + " (request " +
           record.id.str() + ", key " + sent.key.str() + ")";
}

/// Counts the runs of holds by idempotency key, or by request id if the run has no key.
std::map<std::string, std::uint64_t> count_hold_runs(const execution_records& truth) {
    std::map<std::string, std::uint64_t> counts;
    for (const recorded_run& run : truth.runs) {
        if (run.operation.str() == hold_operation) {
            ++counts[run.key.empty() ? "request " + run.id.str() : run.key.str()];
        }
    }
    return counts;
}

void check_duplicates(consistency_check& check, const std::map<std::string, std::uint64_t>& holds) {
    for (const auto& [key, count] : holds) {
        if (count > 1) {
            check.duplicate_runs += count - 1;
            add_example(check, "key " + key + " ran " + std::to_string(count) + " times");
        }
    }
}

void check_generated_text(consistency_check& check, const call_record& record, const arrival& sent) {
    if (record.text == text_check::truncated) {
        ++check.truncated;
        add_example(check, describe(record, sent) + ": truncated without notice");
    }
    if (record.text == text_check::mismatched) {
        ++check.foreign;
        add_example(check, describe(record, sent) + ": text of another request or a duplicated token");
    }
}

/// Whether the answer has the id of this request; an answer without an id is accepted.
bool is_own_answer(const call_record& record) {
    const json answer = json::parse(record.result, nullptr, false);
    if (!answer.is_object() || record.id.empty()) {
        return true;
    }
    return answer.value("request_id", record.id.str()) == record.id.str();
}

/// Tracks which party each slot was confirmed for.
class confirmed_slots {
  public:
    void add(consistency_check& check, const call_record& record, const arrival& sent) {
        constexpr int confirmed = 200;
        if (record.end != call_outcome::answered || record.status != confirmed) {
            return;
        }
        const auto [found, inserted] = m_parties.emplace(sent.slot, sent.party);
        if (!inserted && found->second != sent.party) {
            ++check.rivals_confirmed;
            add_example(check, sent.slot + " was confirmed to " + found->second + " and " + sent.party);
        }
    }

  private:
    std::map<std::string, std::string> m_parties;
};

void check_plain_call(consistency_check& check, const call_record& record, const arrival& sent,
                      const execution_records& truth, const std::map<std::string, std::uint64_t>& holds) {
    const bool has_answer = record.end == call_outcome::answered;
    // A repeated hold gets the recorded answer of the first request, which names that request.
    if (has_answer && sent.kind == load_kind::lookup && !is_own_answer(record)) {
        ++check.foreign;
        add_example(check, describe(record, sent) + ": answer of another request");
    }
    if (has_answer && sent.kind == load_kind::hold && truth.missing.empty() &&
        holds.count(sent.key.str()) == 0 && holds.count("request " + record.id.str()) == 0) {
        ++check.unrecorded_holds;
        add_example(check, describe(record, sent) + ": answered, but no service ran it");
    }
}

bool has_run(const call_record& record, const arrival& sent, const execution_records& truth,
             const std::set<request_id>& plain_runs, const std::map<std::string, std::uint64_t>& holds) {
    const bool key_ran = sent.kind == load_kind::hold && holds.count(sent.key.str()) > 0;
    const bool id_ran =
        !record.id.empty() && (plain_runs.count(record.id) > 0 || truth.generated.count(record.id) > 0);
    return key_ran || id_ran;
}

} // namespace

void add_engine_truth(execution_records& to, const json& from) {
    for (const json& request : from.value("requests", json::array())) {
        const std::int64_t emitted = request.value("tokens", std::int64_t{0});
        if (emitted > 0) {
            to.generated.insert(request_id(request.value("request_id", std::string())));
        }
    }
    for (const json& change : from.value("changes", json::array())) {
        to.role_changes += change.value("role_changed", false) ? 1 : 0;
    }
}

void add_service_truth(execution_records& to, const json& from) {
    for (const json& run : from.value("runs", json::array())) {
        to.runs.push_back({request_id(run.value("request_id", std::string())),
                           idempotency_key(run.value("key", std::string())),
                           operation_id(run.value("operation", std::string()))});
    }
}

consistency_check compare_with_truth(const std::vector<arrival>& arrivals,
                                     const std::vector<call_record>& records,
                                     const execution_records& truth) {
    consistency_check check;
    const std::map<std::string, std::uint64_t> holds = count_hold_runs(truth);
    std::set<request_id> plain_runs;
    for (const recorded_run& run : truth.runs) {
        plain_runs.insert(run.id);
    }
    check_duplicates(check, holds);
    confirmed_slots slots;
    for (const call_record& record : records) {
        const arrival& sent = arrivals[record.arrival];
        check_generated_text(check, record, sent);
        if (record.reported_run_state == run_state::not_run &&
            has_run(record, sent, truth, plain_runs, holds)) {
            ++check.false_not_run;
            add_example(check,
                        describe(record, sent) + ": refused as not run (" + record.reason + "), but it ran");
        }
        if (sent.kind != load_kind::generation) {
            check_plain_call(check, record, sent, truth, holds);
        }
        if (sent.kind == load_kind::hold) {
            slots.add(check, record, sent);
        }
    }
    return check;
}

} // namespace parsleypitch::bench
