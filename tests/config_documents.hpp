#pragma once

#include <parsleypitch/core/hash.hpp>

#include <string>

namespace parsleypitch {

/// Returns a small valid environment document. Documents with different `worth` have different content.
inline std::string document(int worth = 10, int account_count = 2) {
    std::string text =
        "[environment]\nname = \"trial\"\n[ranks.urgent]\nworth = " + std::to_string(worth) +
        "\nfloor = 0.2\n[ranks.normal]\n[ranks.bulk]\n"
        "[[zone]]\nid = \"z2\"\n[[zone]]\nid = \"z1\"\nregion = \"r\"\n"
        "[[model]]\nid = \"m1\"\nversion = \"1\"\nadapters = [\"a\"]\n"
        "[[service]]\nid = \"stock\"\n[[service.operation]]\nid = \"hold\"\nrepeatable = false\n"
        "[[backend_server]]\nid = \"b2\"\nzone = \"z2\"\nservice = \"stock\"\n"
        "[[backend_server]]\nid = \"b1\"\nzone = \"z1\"\nmodel = \"m1\"\n";
    for (int i = 0; i < account_count; ++i) {
        const std::string id = "c" + std::to_string(i);
        text += "[[account]]\nid = \"" + id + "\"\nkey_sha256 = \"" + sha256_hex(id) +
                "\"\nhighest_rank = \"urgent\"\n";
    }
    return text;
}

} // namespace parsleypitch
