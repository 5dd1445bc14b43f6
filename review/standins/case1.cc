// Two holders with one fencing token, after a restore of the store while one machine stands still.
#include "model.h"

using namespace bed;

namespace {

constexpr const char* lease_kind = "parsleypitch-authority";
constexpr const char* lease_name = "engine-roles";
constexpr double traffic_from = 3, stop_at = 46;
constexpr double copy_period = 0.1, away_s = 0.4, longest_freeze = 6.3;

struct site {
    scratch folder;
    store platform;
    std::vector<std::unique_ptr<model_engine>> engines;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<order_seen> orders;
    std::deque<std::pair<double, store::contents>> copies;
    std::string holder; // of the lease, when traffic begins
    host* still = nullptr;
    bool frozen = false;
    double frozen_at = 0, woken_at = 0, restored_at = 0, quiet_until = 0;
    std::uint64_t expected = 0; // revision of the lease that the machine has seen last
    bool restored = false;
    std::map<std::string, std::uint64_t> answered;

    /// The lease as it is stored; empty before the first holder.
    json lease() const {
        const store::object* found = stored_lease(platform.now);
        return found == nullptr || !found->spec.is_object() ? json::object() : found->spec;
    }
    std::uint64_t lease_revision() const {
        const store::object* found = stored_lease(platform.now);
        return found == nullptr ? 0 : found->revision;
    }
    static const store::object* stored_lease(const store::contents& in) {
        const auto kind = in.kinds.find(lease_kind);
        if (kind == in.kinds.end()) {
            return nullptr;
        }
        const auto found = kind->second.find(lease_name);
        return found == kind->second.end() ? nullptr : &found->second;
    }
};

json configuration() {
    json limits = {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    const auto route = [](const char* name, const char* prefix, int timeout, int target, int priority) {
        return json{{"name", name}, {"host", "assist.example"}, {"path_prefix", prefix}, {"kind", "streaming"}, {"timeout_ms", timeout},
                    {"target_latency_ms", target}, {"priority", priority}, {"service", "restorer-assistant"}, {"max_attempts", 2},
                    {"sticky", true}, {"resumable", true}, {"target_gap_ms", 300}};
    };
    json engine = {{"slots", 64}, {"kv_capacity_tokens", 499411}, {"token_kv_bytes", 35136}, {"link_mbps", 330000.0}, {"stride", 1},
                   {"most", 12}, {"kv_hold_s", 5.0}, {"switch_s", 1.0}, {"models", {{{"name", "m"}}}}};
    return {{"version", 7},
            {"routes", {route("verdict", "/verdict/", 6000, 800, 0), route("query", "/query/", 8000, 3000, 2)}},
            {"services", {{{"name", "restorer-assistant"}, {"health_path", "/health"}, {"max_connections", 360}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}}}},
            {"limits", limits}};
}

/// Sends one request to a machine: long prompts to the first holder, long answers to the others.
void send_request(site& s, host& to) {
    const bool long_prompt = to.name == s.holder;
    const std::string id = random_id();
    const std::string body = "{\"prompt\":\"" + id + "\"}";
    const int prompt = long_prompt ? 17'020 : 300;
    const int output = long_prompt ? 4 : 120;
    std::string bytes = std::string("POST ") + (long_prompt ? "/verdict/1" : "/query/1") + " HTTP/1.1\r\nHost: assist.example\r\nParsleypitch-Attempt-Id: " + id +
                        "\r\nParsleypitch-Model: m\r\nParsleypitch-Token-Counts: " + std::to_string(prompt) + "," + std::to_string(output) +
                        "\r\nParsleypitch-Prompt-Prefix: " + id + ":" + std::to_string(prompt) + "\r\nParsleypitch-Deadline-Ms: 6000\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
    note("caller sends %s to %s", id.c_str(), to.name.c_str());
    auto call = std::make_shared<caller>();
    call->done = [&s, id](const outcome& seen) {
        note("caller has of %s: status %d, %s", id.c_str(), seen.status, seen.complete ? "complete" : seen.end.c_str());
        ++s.answered[std::to_string(seen.status)];
    };
    call->start(to.front, bytes, 6);
}

void traffic(site& s) {
    for (const auto& each : s.hosts) {
        host* to = each.get();
        const double gap = to->name == s.holder ? 0.2 : 0.125;
        every(gap, [&s, to] {
            // The platform sends no new connections to a machine that doesn't answer its health check.
            const bool out = to == s.still && s.frozen_at > 0 && (s.frozen || now_s() < s.woken_at + 1);
            if (!out) {
                send_request(s, *to);
            }
            return now_s() < stop_at;
        });
    }
}

void freeze_and_restore(site& s) {
    s.frozen = true;
    s.frozen_at = now_s();
    s.still->signal(SIGSTOP);
    note("TROUBLE machine %s stands still (SIGSTOP); the lease revision it has read last is %llu, the store's is %llu", s.still->name.c_str(),
         static_cast<unsigned long long>(s.expected), static_cast<unsigned long long>(s.lease_revision()));
    after(0.3, [&s] {
        s.platform.away();
        note("TROUBLE the store is away");
        after(away_s, [&s] {
            // The newest copy in which the lease was renewed three times less than the machine has read.
            const std::pair<double, store::contents>* chosen = nullptr;
            for (const auto& each : s.copies) {
                const store::object* stored = site::stored_lease(each.second);
                if (stored != nullptr && stored->revision + 3 <= s.expected) {
                    chosen = &each;
                }
            }
            if (chosen == nullptr) {
                chosen = &s.copies.front();
            }
            note("TROUBLE the store is back from a copy that is %.1f s old; its counter goes from %llu back to %llu, its era is %llu",
                 now_s() - chosen->first, static_cast<unsigned long long>(s.platform.now.newest),
                 static_cast<unsigned long long>(chosen->second.newest), static_cast<unsigned long long>(s.platform.era + 1));
            s.platform.back_from(chosen->second);
            s.restored = true;
            s.restored_at = now_s();
            // What the engines wrote is written again; nothing has changed there.
            for (const auto& each : s.engines) {
                each->write_entry();
            }
        });
    });
    every(0.02, [&s] {
        const double still_for = now_s() - s.frozen_at;
        const bool same = s.restored && s.lease_revision() == s.expected;
        static double same_since = 0;
        same_since = same ? (same_since == 0 ? now_s() : same_since) : 0;
        const std::uint64_t token = s.lease().value("fencing_number", std::uint64_t{0});
        const bool ordered = std::any_of(s.orders.begin(), s.orders.end(), [token](const order_seen& each) { return each.token == token; });
        const bool wake = (same && (ordered || now_s() - same_since > 1.0)) || still_for >= longest_freeze - 0.05;
        if (!wake) {
            return true;
        }
        s.still->signal(SIGCONT);
        s.frozen = false;
        s.woken_at = now_s();
        note("TROUBLE machine %s goes on (SIGCONT) after %.2f s; the store's lease revision is %llu", s.still->name.c_str(), still_for,
             static_cast<unsigned long long>(s.lease_revision()));
        return false;
    });
}

/// Two holders with one token at one engine.
int judge(const site& s) {
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> holders;
    for (const order_seen& each : s.orders) {
        const bool excused = s.woken_at > 0 && s.still != nullptr && each.holder == s.still->name && each.at < s.woken_at + 0.3 && each.at >= s.woken_at;
        if (!excused) {
            holders[{each.engine, each.token}].insert(each.holder);
        }
    }
    int broken = 0;
    for (const auto& [key, names] : holders) {
        if (names.size() > 1) {
            std::string all;
            for (const auto& each : names) {
                all += " " + each;
            }
            note("ONE broken: engine %s got orders with fence_token %llu from%s", key.first.c_str(),
                 static_cast<unsigned long long>(key.second), all.c_str());
            broken = 1;
        }
    }
    return broken;
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 3) {
        std::fprintf(stderr, "usage: case1 PROGRAM RECORD\n");
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    record_file = std::fopen(argv[2], "w");
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    site s;
    s.platform.put("config", "main", configuration());
    for (int number = 1; number <= 10; ++number) {
        auto made = std::make_unique<model_engine>();
        char id[16];
        std::snprintf(id, sizeof id, "i-e%02d", number);
        made->id = id;
        made->service = "restorer-assistant";
        made->zone = "kariakoo";
        made->stage = number <= 4 ? "decode" : "prefill";
        made->orders = &s.orders;
        if (!made->open(address(100 + static_cast<unsigned>(number)), &s.platform)) {
            return 2;
        }
        s.engines.push_back(std::move(made));
    }
    for (unsigned number = 1; number <= 3; ++number) {
        auto made = std::make_unique<host>();
        made->name = "edge-" + std::to_string(number);
        made->zone = "kariakoo";
        made->ip = address(10 + number);
        made->configure(s.folder.path, s.platform.open(address(1)), default_bounds(), true);
        if (!made->start(argv[1])) {
            return 2;
        }
        s.hosts.push_back(std::move(made));
    }
    every(copy_period, [&s] {
        if (!s.restored) {
            s.copies.emplace_back(now_s(), s.platform.now);
            while (s.copies.size() > 140) {
                s.copies.pop_front();
            }
        }
        return now_s() < stop_at;
    });
    after(traffic_from, [&s] {
        s.holder = s.lease().value("holder", "");
        note("holder of the lease when traffic begins: %s", s.holder.c_str());
        traffic(s);
    });
    s.platform.seen = [&s, trouble](std::size_t door, const std::string& kind, const std::string& name, const std::string& method, int status) {
        if (kind != lease_kind) {
            return;
        }
        note("store: %s %s %s/%s -> %d, revision %llu, holder %s, token %llu", s.hosts[door]->name.c_str(), method.c_str(), kind.c_str(), name.c_str(), status,
             static_cast<unsigned long long>(s.lease_revision()), s.lease().value("holder", "").c_str(),
             static_cast<unsigned long long>(s.lease().value("fencing_number", std::uint64_t{0})));
        // A machine that doesn't hold the lease has just read it: it stands still two seconds later.
        static bool chosen = false;
        if (trouble && !chosen && method == "GET" && now_s() > traffic_from + 13.2 && !s.holder.empty() &&
            s.hosts[door]->name != s.holder) {
            chosen = true;
            s.still = s.hosts[door].get();
            s.expected = s.lease_revision();
            after(1.6, [&s] { freeze_and_restore(s); });
        }
    };
    after(1.5, [&s] {
        for (const auto& each : s.hosts) {
            if (each->ended()) {
                note("machine %s has ended", each->name.c_str());
                io.stop();
            }
        }
    });
    bool over = false;
    after(stop_at, [&over] {
        over = true;
        io.stop();
    });
    io.run();
    const int broken = judge(s);
    std::string counts;
    for (const auto& [status, number] : s.answered) {
        counts += " " + status + ":" + std::to_string(number);
    }
    note("answers by status:%s", counts.c_str());
    bool alive = true;
    for (const auto& each : s.hosts) {
        alive = alive && !each->ended();
        if (std::getenv("KEEP") != nullptr) {
            std::fprintf(stderr, "%s\n", each->log().c_str());
        }
        each->kill_now();
    }
    if (!over || s.holder.empty() || !alive || s.answered["200"] == 0) {
        note("the case could not run");
        return 2;
    }
    note(broken ? "the rule was broken" : "the rule held");
    std::fclose(record_file);
    return broken;
}
