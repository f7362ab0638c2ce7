// The state of one client connection. Owned by the ClientListener, used on the event loop's thread only.
#ifndef TULIPYOKE_SRC_LISTENER_CLIENT_CONNECTION_HPP_
#define TULIPYOKE_SRC_LISTENER_CLIENT_CONNECTION_HPP_

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "src/dispatch/response_stream.hpp"
#include "src/listener/arrival_times.hpp"
#include "src/listener/statement_budget.hpp"
#include "src/pg/message_reader.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

inline constexpr std::size_t kReadSize = 8192;  // bytes of one read

// The response to one message or to several in a row, in its place in the order in which it is sent.
struct PendingResponse {
  RequestId request = 0;                   // the open request; 0: the response is complete
  std::string client_request_id;           // what the client calls the request
  std::uint64_t written_session = 0;       // the session that the request writes; 0: none
  std::shared_ptr<ResponseStream> stream;  // a large value that is forwarded as it comes
  bool stream_started = false;
  bool closes_connection = false;   // the connection is closed behind it
  std::size_t statement_bytes = 0;  // of the statement, while it is in flight
  std::string bytes;

  bool is_open() const { return request != 0; }
};

struct ClientConnection {
  explicit ClientConnection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

  asio::ip::tcp::socket socket;
  pg::MessageReader reader{true, pg::kMaxStatementSize};
  StatementBudget::Room statement_reservation;  // for the large statement that is being read
  bool awaits_reservation = false;
  bool started = false;  // the startup is complete
  bool reading = false;
  bool writing = false;
  bool skipping_to_sync = false;  // after an error in the extended query protocol
  bool closing = false;           // the last message is being sent; nothing more is read as messages
  bool write_shut_down = false;
  bool closed = false;
  bool processing_scheduled = false;  // the rest of its messages waits for the next turn
  // Responses that are not being sent yet, in the order of the messages; the first one's request is open.
  std::deque<PendingResponse> pending_responses;
  std::size_t open_requests = 0;
  ArrivalTimes arrivals;       // of the bytes that wait in the reader
  Micros message_arrived = 0;  // when the last byte of the message that is being handled arrived
  bool input_ended = false;    // the last pending response closes the connection: what follows is discarded
  int finished_requests = 0;
  int rejected_statements = 0;    // in a row
  bool over_limit = false;        // to be rejected once it has said for what
  bool has_sent_message = false;  // since its startup
  std::size_t discarded_bytes = 0;
  Micros connected_at = 0;
  Micros last_active = 0;
  Micros closing_since = 0;
  Micros login_started = 0;  // when it connected, or its startup was complete
  Micros message_since = 0;  // when the message that is not complete yet began to arrive
  // Its parts of the listener's sums.
  std::size_t unread_bytes = 0;
  std::size_t retained_bytes = 0;
  std::string output;
  std::string output_in_flight;
  std::array<char, kReadSize> input{};

  std::size_t unsent() const { return output.size() + output_in_flight.size(); }
  bool has_pending_responses() const { return !pending_responses.empty(); }
  // The response to that request; null: there is none.
  PendingResponse* Find(RequestId request) {
    const auto found =
        std::find_if(pending_responses.begin(), pending_responses.end(),
                     [&](const PendingResponse& response) { return response.request == request; });
    return found == pending_responses.end() ? nullptr : &*found;
  }
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_CLIENT_CONNECTION_HPP_
