// Decodes batches of the simulator's wire format into events for the router instances.
#ifndef TULIPYOKE_ADAPTER_BATCH_DECODER_HPP_
#define TULIPYOKE_ADAPTER_BATCH_DECODER_HPP_

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "adapter/format_error.hpp"
#include "adapter/wire_format.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::wire {

struct BatchHeader {
  std::uint32_t number = 0;
  std::uint64_t now = 0;  // time in microseconds
  std::uint32_t body_size = 0;
  std::uint32_t record_count = 0;
};

// An instance starts. An instance that already runs is replaced by a new one without any state.
struct InstanceStarted {
  std::uint64_t seed = 0;
  std::string_view settings_text;  // see settings_parser.hpp; points into the body
};

// An instance stops.
struct InstanceStopped {};

// An endpoint list is stored in a slot. ListAnnounced records in this batch and in later ones refer to the
// slot.
struct ListDefined {
  std::uint32_t slot = 0;
  std::vector<EndpointEntry> entries;
};

// An instance receives the endpoint list in a slot. A list of kind kFailed has no entries; its slot is
// ignored.
struct ListAnnounced {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::uint32_t slot = 0;
};

// An Event is passed to the instance's router. The adapter handles all other payloads itself.
using Payload = std::variant<InstanceStarted, InstanceStopped, ListDefined, ListAnnounced, Event>;

struct Record {
  std::uint16_t instance = 0;  // unused by ListDefined
  Payload payload;
};

// Decodes the first kBatchHeaderSize bytes.
Decoded<BatchHeader> DecodeBatchHeader(std::string_view bytes);

// Decodes the record at `index` of a body. Views in the result point into `body`.
Decoded<Record> DecodeRecord(const BatchHeader& header, std::string_view body, std::uint32_t index);

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_BATCH_DECODER_HPP_
