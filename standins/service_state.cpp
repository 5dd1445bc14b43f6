#include "service_state.hpp"

#include "hex.hpp"

#include <nlohmann/json.hpp>

namespace parsleypitch::standins {

service_state::service_state(std::size_t slots, std::size_t max_waiting,
                             std::map<operation_id, duration> operations, booking_hook book)
    : m_slots(slots), m_max_waiting(max_waiting), m_operations(std::move(operations)),
      m_book(std::move(book)) {
}

bool service_state::supports(const operation_id& operation) const {
    return m_operations.count(operation) > 0;
}

std::optional<std::uint64_t> service_state::enqueue(service_call call) {
    if (m_running.size() >= m_slots && m_waiting.size() >= m_max_waiting) {
        return std::nullopt;
    }
    m_waiting.push_back({++m_tickets, std::move(call)});
    return m_tickets;
}

std::optional<started_run> service_state::start_next(time_point now, double slowdown) {
    if (m_waiting.empty() || m_running.size() >= m_slots) {
        return std::nullopt;
    }
    waiting_call next = std::move(m_waiting.front());
    m_waiting.pop_front();
    const run_number number(m_runs.size());
    m_runs.push_back({next.call.id,
                      next.call.key,
                      next.call.operation,
                      to_hex(hash_bytes(next.call.body)),
                      now,
                      std::nullopt,
                      {}});
    const duration service_time = from_seconds(to_seconds(m_operations.at(next.call.operation)) * slowdown);
    m_running.emplace(number, std::move(next.call));
    return started_run{number, next.ticket, service_time};
}

service_answer service_state::finish(run_number number, time_point now) {
    const auto running = m_running.extract(number);
    const service_call& call = running.mapped();
    service_run& run = m_runs.at(number.value());
    run.finished = now;
    run.outcome = "done";
    service_answer answer;
    answer.text = "r" + to_hex(hash_bytes(call.body)).substr(0, 8);
    if (call.operation == operation_id("hold")) {
        answer.confirmed_for = book(call.body);
        run.outcome = answer.confirmed_for ? "rival" : "confirmed";
    }
    return answer;
}

std::optional<std::string> service_state::book(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("slot") || !json.contains("party") || !json["slot"].is_string() ||
        !json["party"].is_string()) {
        return std::nullopt; // without a slot and a party there is nothing to book
    }
    const auto slot = json["slot"].get<std::string>();
    const auto party = json["party"].get<std::string>();
    return m_book ? m_book(slot, party) : m_booked.book(slot, party);
}

std::optional<std::string> booked_slots::book(const std::string& slot, const std::string& party) {
    const auto [entry, added] = m_booked.emplace(slot, party);
    return added || entry->second == party ? std::nullopt : std::optional(entry->second);
}

service_load service_state::load() const {
    return {m_running.size(), m_waiting.size(), m_slots};
}

} // namespace parsleypitch::standins
