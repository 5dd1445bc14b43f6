#pragma once

#include <parsleypitch/core/strong_type.hpp>

namespace parsleypitch {

using request_id = string_id<struct request_id_tag>;
using caller_id = string_id<struct caller_id_tag>;
using model_id = string_id<struct model_id_tag>;
using model_version = string_id<struct model_version_tag>;
using adapter_id = string_id<struct adapter_id_tag>;
using plain_service_id = string_id<struct plain_service_id_tag>;
/// @brief A group of interchangeable backend servers: the engines of a model, or a plain service.
using backend_service_id = string_id<struct backend_service_id_tag>;
using route_id = string_id<struct route_id_tag>;
/// @brief Identifies a part of a prompt; parts with equal ids have equal tokens.
using prompt_part_id = string_id<struct prompt_part_id_tag>;
/// @brief Handle of the KV cache of a prompt, which an engine keeps so that a decode engine can fetch it.
using kv_handle_id = string_id<struct kv_handle_id_tag>;
using operation_id = string_id<struct operation_id_tag>;
using backend_server_id = string_id<struct backend_server_id_tag>;
using entry_host_id = string_id<struct entry_host_id_tag>;
using availability_zone_id = string_id<struct availability_zone_id_tag>;
using idempotency_key = string_id<struct idempotency_key_tag>;
using environment_name = string_id<struct environment_name_tag>;
using object_key = string_id<struct object_key_tag>;
/// @brief Network endpoint as `address:port`; the address is a numeric IP address.
using endpoint = string_id<struct endpoint_tag>;
/// @brief Identifies one conditional write, so that its writer can recognise it after a lost response.
using write_id = string_id<struct write_id_tag>;

/// @brief Distinguishes successive processes with the same host or server id; a later one is greater.
using incarnation = number_id<struct incarnation_tag>;
/// @brief Fencing token of a lease term. An order is stale if its number is below the highest one seen.
using fencing_number = number_id<struct fencing_number_tag>;
using config_version = number_id<struct config_version_tag>;
/// @brief Version of an object in the platform's object API; 0 means that the object does not exist.
using object_version = number_id<struct object_version_tag>;
/// @brief Counts how often the platform's store has been restored from a copy; 0 if the store does not say.
using store_era = number_id<struct store_era_tag>;
/// @brief Number of an attempt at one request; the first attempt is 1.
using attempt_number = number_id<struct attempt_number_tag>;
/// @brief Position in the log of cache changes of an engine.
using cache_position = number_id<struct cache_position_tag>;
/// @brief Position of an event in a stream, as given by the `id` field of the event.
using stream_event_id = number_id<struct stream_event_id_tag>;
/// @brief Position of a token in the generated output of a request; the first token is 0.
using token_index = number_id<struct token_index_tag>;

} // namespace parsleypitch
