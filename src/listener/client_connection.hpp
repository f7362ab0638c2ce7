// State of one client connection. The ClientListener owns it and uses it only on the event loop thread.
#ifndef TULIPYOKE_SRC_LISTENER_CLIENT_CONNECTION_HPP_
#define TULIPYOKE_SRC_LISTENER_CLIENT_CONNECTION_HPP_

#include <algorithm>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/dispatch/response_stream.hpp"
#include "src/listener/arrival_times.hpp"
#include "src/listener/rejection_reason.hpp"
#include "src/listener/statement_budget.hpp"
#include "src/pg/message_reader.hpp"
#include "src/requests/used_request_ids.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// A queued response to one client message, or to several consecutive ones. Responses are sent in queue order.
struct PendingResponse {
  RequestId request = 0;                          // the open request, or 0 if the response is complete
  std::string client_request_id;                  // the request id that the client assigned
  std::optional<requests::RequestIdKey> used_id;  // of an open request that must not run twice
  std::uint64_t written_session = 0;              // the session that the request writes to, or 0
  std::shared_ptr<ResponseStream> stream;         // a large value, forwarded as it arrives from the server
  bool stream_started = false;
  bool closes_connection = false;   // the connection is closed after this response
  std::size_t statement_bytes = 0;  // size of the statement while it is in flight
  std::string bytes;

  bool is_open() const { return request != 0; }
};

struct ClientConnection {
  explicit ClientConnection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

  asio::ip::tcp::socket socket;
  pg::MessageReader reader{true, pg::kMaxStatementSize};
  StatementBudget::Reservation statement_reservation;  // memory for the large statement being read
  bool awaits_reservation = false;
  // When the large statement being read began and ceased to wait for memory; 0 if it did not wait.
  Micros reservation_awaited_since = 0, reservation_granted_at = 0;
  bool startup_complete = false;  // the startup message has been processed
  bool reading = false;
  bool writing = false;
  bool skipping_to_sync = false;  // extended-query messages are ignored until Sync or a simple query
  bool closing = false;           // the last message is being sent; further input is discarded
  // When it was decided to close the connection as soon as all statements sent so far are answered.
  std::optional<Micros> close_when_idle_since;
  std::optional<RejectionReason> rejection;  // all statements are rejected for this reason
  bool write_shut_down = false;
  // When the client last acknowledged bytes, or when the output that it has not read began to wait.
  Micros last_acknowledged = 0;
  std::size_t unacknowledged_bytes = 0;
  bool closed = false;
  bool processing_scheduled = false;  // remaining messages are processed in the next event loop turn
  // Responses not yet sent, in the order of the client's messages. The first one belongs to an open request.
  std::deque<PendingResponse> pending_responses;
  std::size_t open_requests = 0;
  ArrivalTimes arrivals;          // of the bytes buffered in the reader
  Micros message_arrived_at = 0;  // when the last byte of the message being processed arrived
  bool input_ended = false;  // the last pending response closes the connection; further input is discarded
  int finished_requests = 0;
  int consecutive_rejections = 0;  // statements rejected in a row
  bool has_sent_message = false;   // since the startup
  std::size_t discarded_bytes = 0;
  Micros connected_at = 0;
  Micros last_active = 0;
  Micros login_step_started = 0;  // when the client connected, later when its startup completed
  Micros message_started_at = 0;  // when the incomplete message began to arrive
  // This connection's share of the listener's totals.
  std::size_t unread_bytes = 0;
  std::size_t queued_bytes = 0;
  std::size_t counted_unsent_bytes = 0;
  std::string output;
  std::string output_in_flight;

  std::size_t unsent_bytes() const { return output.size() + output_in_flight.size(); }
  bool has_pending_responses() const { return !pending_responses.empty(); }
  // Returns the pending response to `request`, or null if there is none.
  PendingResponse* FindPendingResponse(RequestId request) {
    const auto found =
        std::find_if(pending_responses.begin(), pending_responses.end(),
                     [&](const PendingResponse& response) { return response.request == request; });
    return found == pending_responses.end() ? nullptr : &*found;
  }
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_CLIENT_CONNECTION_HPP_
