// The final response to a request, which the client listener encodes for the client.
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

// The request was not executed: the client may safely retry it.
struct RejectedResponse {
  Micros retry_after = 0;  // 0: not stated
};

// The request may have been executed.
struct FailedResponse {};

// The result is forwarded as it arrives. The client listener calls Dispatcher::StreamDelivered once it has
// sent all of the stream.
struct StreamingResponse {
  std::shared_ptr<ResponseStream> stream;
};

using Response = std::variant<ServedResponse, RejectedResponse, FailedResponse, StreamingResponse>;

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_RESPONSE_HPP_
