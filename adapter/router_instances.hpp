// The router instances of one simulator process, by their numbers.
#ifndef TULIPYOKE_ADAPTER_ROUTER_INSTANCES_HPP_
#define TULIPYOKE_ADAPTER_ROUTER_INSTANCES_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapter/batch_decoder.hpp"
#include "adapter/format_error.hpp"
#include "adapter/reply_encoder.hpp"
#include "adapter/wire_format.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::wire {

// Owns the routers and the lists that batches define. Not thread-safe.
class RouterInstances {
 public:
  // Hands the batch's records to their instances, in order, and returns the bytes of the reply. After an
  // error the records before it have been handled, and no reply may be sent.
  Decoded<std::string> HandleBatch(const BatchHeader& header, std::string_view body);

 private:
  using Actions = std::vector<InstanceAction>;

  std::optional<FormatError> HandleRecord(Micros now, Record& record, Actions& actions);
  std::optional<FormatError> Start(std::uint16_t instance, const InstanceStarted& started);
  // Removes the instance and what it has asked for in this batch.
  void Stop(std::uint16_t instance, Actions& actions);
  std::optional<FormatError> AnnounceList(Micros now, std::uint16_t instance, const ListAnnounced& announced,
                                          Actions& actions);
  // Events for an instance that does not run are dropped.
  void Deliver(Micros now, std::uint16_t instance, const Event& event, Actions& actions);

  std::map<std::uint16_t, Router> routers_;
  std::array<std::vector<EndpointEntry>, kListSlots> lists_;
};

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_ROUTER_INSTANCES_HPP_
