// Stand-in of a model engine (PROTOCOL.md, "Requests", "Engines", "Prefill and decode", "Service discovery").
#pragma once

#include "bed.h"

namespace bed {

struct order_seen {
    double at;
    std::string engine, holder, stage;
    std::uint64_t token;
};

class model_engine {
  public:
    std::string id, service, zone, stage;
    double event_s = 0.005;
    double switch_s = 1.0;
    std::vector<order_seen>* orders = nullptr;

    bool open(const std::string& ip, store* in) {
        m_store = in;
        m_server.handler = [this](const conn& to, const message& call) { receive(to, call); };
        if (!m_server.open(ip, 0)) {
            return false;
        }
        write_entry();
        return true;
    }
    std::string address() const { return m_server.address(); }
    /// An engine writes about every heartbeat; the entry changes when more than `sequence` changes.
    void write_entry() {
        m_store->put("servers", id,
                     {{"service", service}, {"address", address()}, {"zone", zone}, {"version", "v1"}, {"slots", 64},
                      {"state", "ready"}, {"cold_remaining_ms", 0}, {"stage", stage},
                      {"models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}}, {"sequence", m_sequence}, {"born", m_born}});
    }

  private:
    static std::map<std::string, std::string>& handles() {
        static std::map<std::string, std::string> all;
        return all;
    }
    void receive(const conn& to, const message& call) {
        const std::string target = call.target();
        const std::string attempt = call.field("Parsleypitch-Attempt-Id");
        const std::string named = call.field("Parsleypitch-Target-Instance");
        const headers echo = {{"Parsleypitch-Attempt-Id", attempt}};
        const headers not_run = {{"Parsleypitch-Attempt-Id", attempt}, {"Parsleypitch-Not-Executed", "1"}};
        if (target.rfind("/kv-events", 0) == 0) {
            const double wait = std::strtoul(call.field("Wait-Ms").c_str(), nullptr, 10) / 1000.0;
            after(wait, [this, to] {
                to->respond(200, json{{"epoch", m_born}, {"next", 1}, {"lost", false}, {"events", json::array()}, {"born", m_born}}.dump());
            });
        } else if (target == "/report") {
            to->respond(200, json{{"stage", stage}, {"busy", m_switching}, {"sequence", m_sequence}, {"waiting", 0}, {"running", 0}, {"born", m_born}}.dump());
        } else if (target.rfind("/kv-handle/", 0) == 0) {
            to->respond(handles().erase(address() + target.substr(10)) > 0 ? 200 : 404, "");
        } else if (!named.empty() && named != id) {
            to->respond(421, "", not_run);
        } else if (target == "/order") {
            order(to, call);
        } else if (attempt.empty()) {
            to->respond(400, "", not_run);
        } else if (m_switching) {
            to->respond(503, "", not_run);
        } else if (!call.field("Parsleypitch-Stage").empty()) {
            if (stage != "prefill") {
                to->respond(421, "", not_run);
                return;
            }
            const double tokens = std::strtod(call.field("Parsleypitch-Token-Counts").c_str(), nullptr);
            after(tokens / 61'400, [this, to, attempt, echo, tokens] {
                const std::string handle = "h" + std::to_string(++m_handles);
                handles()[address() + "/" + handle] = attempt;
                to->respond(200, json{{"kv_handle", handle}, {"tokens", tokens}, {"version", 1}}.dump(), echo);
            });
        } else if (stage == "prefill") {
            to->respond(421, "", not_run);
        } else {
            const std::string source = call.field("Parsleypitch-Kv-Source");
            if (!source.empty() && handles().erase(source) == 0) {
                to->respond(503, "", not_run);
                return;
            }
            run(to, call, attempt);
        }
    }
    void run(const conn& to, const message& call, const std::string& attempt) {
        const std::string counts = call.field("Parsleypitch-Token-Counts");
        const unsigned events = static_cast<unsigned>(std::stoul(counts.substr(counts.find(',') + 1)));
        const unsigned first = 1 + static_cast<unsigned>(std::strtoul(call.field("Last-Event-Id").c_str(), nullptr, 10));
        note("engine %s runs %s from event %u", id.c_str(), attempt.c_str(), first);
        to->begin(200, {{"Parsleypitch-Attempt-Id", attempt}, {"Parsleypitch-Response-Seal", "seal." + attempt}, {"Content-Type", "text/event-stream"}});
        step(to, attempt, first, events);
    }
    void step(const conn& to, const std::string& attempt, unsigned next, unsigned last) {
        if (to->closed()) {
            return;
        }
        if (next > last) {
            to->end();
            return;
        }
        to->chunk("id: " + std::to_string(next) + "\ndata: " + attempt + "/" + std::to_string(next) + "\n\n");
        after(event_s, [this, to, attempt, next, last] { step(to, attempt, next + 1, last); });
    }
    void order(const conn& to, const message& call) {
        const json body = json::parse(call.body, nullptr, false);
        if (!body.is_object() || !body.contains("holder") || !body.contains("fence_token")) {
            to->respond(400, "");
            return;
        }
        const std::string wanted = body.value("stage", "");
        const std::string holder = body["holder"];
        const std::uint64_t token = body["fence_token"];
        note("engine %s: order stage=%s holder=%s fence_token=%llu", id.c_str(), wanted.c_str(), holder.c_str(),
             static_cast<unsigned long long>(token));
        orders->push_back({now_s(), id, holder, wanted, token});
        if (m_switching) {
            to->respond(409, "");
        } else if (wanted == stage) {
            to->respond(200, "");
        } else {
            m_switching = true;
            ++m_sequence;
            to->respond(202, "");
            after(switch_s, [this, wanted] {
                m_switching = false;
                stage = wanted;
                write_entry();
            });
        }
    }
    server m_server;
    store* m_store = nullptr;
    std::uint64_t m_born = unix_ms();
    std::uint64_t m_sequence = 0;
    std::uint64_t m_handles = 0;
    bool m_switching = false;
};

} // namespace bed
