// The router instances of one simulator process.
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

// Owns the routers by instance number, and the endpoint lists that batches define. Not thread-safe.
class RouterInstances {
 public:
  // Handles the batch's records in order and returns the bytes of the reply. If it returns an error, the
  // records before the bad one have been handled, and no reply may be sent.
  Decoded<std::string> HandleBatch(const BatchHeader& header, std::string_view body);

 private:
  using Actions = std::vector<InstanceAction>;

  std::optional<FormatError> HandleRecord(Micros now, Record& record, Actions& actions);
  std::optional<FormatError> Start(std::uint16_t instance, const InstanceStarted& started);
  // Removes the instance and the actions that it requested in this batch.
  void Stop(std::uint16_t instance, Actions& actions);
  std::optional<FormatError> AnnounceList(Micros now, std::uint16_t instance, const ListAnnounced& announced,
                                          Actions& actions);
  // Passes the event to the instance's router. Events for an instance that is not running are dropped.
  void Deliver(Micros now, std::uint16_t instance, const Event& event, Actions& actions);

  std::map<std::uint16_t, Router> routers_;
  std::array<std::vector<EndpointEntry>, kListSlotCount> lists_;
};

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_ROUTER_INSTANCES_HPP_
