// The streaming responses that have begun and are not fully delivered to their clients.
#ifndef TULIPYOKE_SRC_DISPATCH_STREAM_TABLE_HPP_
#define TULIPYOKE_SRC_DISPATCH_STREAM_TABLE_HPP_

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

#include "src/dispatch/commands.hpp"
#include "src/dispatch/in_flight_table.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

class StreamTable {
 public:
  struct Entry {
    std::optional<OperationId> open_operation;  // nullopt once the server has finished
    Operation operation;
    std::shared_ptr<ResponseStream> stream;
  };

  void Add(OperationId operation_id, const Operation& operation, std::shared_ptr<ResponseStream> stream);
  // The request whose response the operation streams; nullopt once the server has finished.
  std::optional<RequestId> FindRequest(OperationId operation_id) const;
  // Returns null if the request has no streaming response. The pointer is valid until Remove.
  const Entry* Find(RequestId request) const;
  // Records that the server has finished. The client may not have received all of the response yet.
  void CloseOperation(RequestId request);
  void Remove(RequestId request);
  std::size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<RequestId, Entry> entries_;
  std::unordered_map<OperationId, RequestId> open_operations_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_STREAM_TABLE_HPP_
