// The Routers of one process, by instance number.
#ifndef TULIPYOKE_ADAPTER_INSTANCES_HPP_
#define TULIPYOKE_ADAPTER_INSTANCES_HPP_

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "adapter/codec.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::wire {

class Instances {
 public:
  // Hands a batch's records to their Routers, in order, and returns the bytes of the reply.
  std::string HandleBatch(const BatchHeader& header, std::string_view body);

 private:
  void Pass(Micros now, std::uint16_t instance, const Event& event, std::vector<Reply>& replies);

  std::map<std::uint16_t, Router> routers_;
  std::array<std::vector<EndpointEntry>, kListBanks> banks_;
};

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_INSTANCES_HPP_
