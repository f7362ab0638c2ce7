// The final response to a request, as the client side gets it.
#ifndef TULIPYOKE_SRC_DISPATCH_RESPONSE_HPP_
#define TULIPYOKE_SRC_DISPATCH_RESPONSE_HPP_

#include <memory>
#include <variant>

#include "src/dispatch/outcome.hpp"
#include "src/dispatch/response_stream.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

struct ServedResponse {
  QueryResult result;
};

// The request had no effect: the client may safely retry it.
struct RejectedResponse {
  Micros retry_after = 0;  // 0: no advice
};

// The request may have had an effect.
struct FailedResponse {};

// The result is forwarded while it arrives. The client side reports the end of the stream with
// Dispatcher::StreamDelivered.
struct StreamingResponse {
  std::shared_ptr<ResponseStream> stream;
};

using Response = std::variant<ServedResponse, RejectedResponse, FailedResponse, StreamingResponse>;

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_RESPONSE_HPP_
