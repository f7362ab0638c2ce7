// The client side: accepts connections, reads requests and sends the responses in the order of the requests.
#ifndef TULIPYOKE_SRC_LISTENER_CLIENT_LISTENER_HPP_
#define TULIPYOKE_SRC_LISTENER_CLIENT_LISTENER_HPP_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "src/dispatch/dispatcher.hpp"
#include "src/event_loop/cancellable_timer.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/listener/read_timeout.hpp"
#include "src/listener/statement_budget.hpp"
#include "src/listener/statement_error.hpp"
#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "src/pg/protocol_error.hpp"
#include "src/pg/session_command.hpp"
#include "src/pg/statement.hpp"
#include "src/serving_state/serving_state.hpp"

namespace tulipyoke::net {

struct ListenerLimits {
  std::size_t max_clients = 0;
  // Open requests; clients may hold no more connections for them than a third of the descriptors.
  std::size_t max_open_requests = 0;
  std::size_t eviction_threshold = 0;     // from this number on a new client replaces an idle one
  std::size_t max_buffered_bytes = 0;     // bytes of all clients: unread ones, and as many in flight
  std::size_t large_statement_bytes = 0;  // bytes reserved for large statements
  // Open requests of one connection; statements behind them wait until one of them ends.
  std::size_t max_pipelined_requests = 1;
};

struct ListenerOptions {
  asio::ip::tcp::endpoint listen;
  ListenerLimits limits;
  int accept_fd = -1;  // a listening socket that all processes of this router share; -1: none
  // Called before each request is submitted: another process may have sent an update that it depends on.
  std::function<void()> before_request = [] {};
};

// Connections: accepted, rejected for want of places, closed to make place, closed as idle, closed for
// sending nothing complete in time. Messages that could not be read or used. Failures to accept.
struct ListenerCounters {
  std::uint64_t accepted = 0, rejected = 0, evicted = 0, idle_timeouts = 0, read_timeouts = 0;
  std::uint64_t malformed = 0, accept_errors = 0;
};

struct ClientConnection;
struct PendingResponse;

// Thread: the event loop's only. Outlives its connections, which hold no reference to it.
class ClientListener {
 public:
  // Throws std::runtime_error if the address cannot be listened on.
  ClientListener(asio::io_context& io, LoopClock& clock, Dispatcher& dispatcher,
                 const ServingState& serving_state, const ListenerOptions& options);
  ~ClientListener();

  // The dispatcher's response to a request; ignored if its client has disconnected.
  void Deliver(RequestId id, const Response& response);
  void StartAccepting();
  // Connections that wait in the socket are left to the process that shares it.
  void PauseAccepting();
  // Accepts the connections that wait in the socket, and then no more.
  void StopAccepting();
  // New limits, while another process of this router runs or once it has ended.
  void SetLimits(const ListenerLimits& limits);
  // Rejects all clients whose request has not arrived completely: none can be served any more.
  void RejectClientsWithoutRequests();
  // Whether a client still waits for a response, for the end of one, or for at most `patience` to complete
  // what it has begun to send.
  bool HasUnfinishedClients(Micros patience) const;
  void Stop();
  // Closes a client that has been idle for `least_idle` at least; false: there is none.
  bool EvictIdle(Micros least_idle = 0);

  std::size_t clients() const { return clients_.size(); }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const ListenerCounters& counters() const { return counters_; }

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;
  using ClassNames = std::unordered_map<std::string, int>;

  void Accept();
  void AddConnection(asio::ip::tcp::socket socket);
  void Read(const ConnectionPtr& client);
  // Sends the responses that are complete, processes the messages that have arrived, and reads on.
  void ProcessInput(const ConnectionPtr& client);
  void ProcessMessages(const ConnectionPtr& client);
  // Updates the sum of unread bytes; true: they are too many, and of this client more than one read.
  bool CountUnread(const ConnectionPtr& client);
  void ScheduleProcessing(const ConnectionPtr& client);
  // Reserves memory for a large statement that has begun to arrive; false: the statement waits for it,
  // unread.
  bool ReserveStatement(const ConnectionPtr& client);
  void OnReservationReleased();
  // Why the client is disconnected now; nullopt: it is not.
  std::optional<ReadTimeout> FindReadTimeout(const ClientConnection& client) const;
  void OnStartup(const ConnectionPtr& client, std::string_view body);
  void OnMessage(const ConnectionPtr& client, char type, std::string_view body);
  void OnQuery(const ConnectionPtr& client, std::string_view text);
  void OnStatement(const ConnectionPtr& client, std::string_view text);
  void RejectStatement(const ConnectionPtr& client, StatementError error, std::optional<int> class_index);
  // Rejects a valid statement for which there is no capacity; false: there is.
  bool RejectForCapacity(const ConnectionPtr& client, int class_index, std::size_t statement_size);
  void SubmitRequest(const ConnectionPtr& client, const pg::Statement& statement, int class_index,
                     std::string_view text);
  // Whether the next message of this client may be processed now.
  bool MayProcessNext(const ClientConnection& client) const;
  // Adds a complete response behind all earlier ones.
  void Respond(ClientConnection& client, std::string_view bytes);
  PendingResponse& AddPendingResponse(ClientConnection& client);
  void RemoveFirstResponse(ClientConnection& client);
  // Counts bytes of responses that wait for earlier ones.
  void CountRetained(ClientConnection& client, std::size_t size);
  // Moves the complete responses that have no open request before them to the output.
  void FlushResponses(const ConnectionPtr& client);
  // The client ends its session.
  void OnTerminate(const ConnectionPtr& client);
  // The open request of this client whose write the one with that session key has to see.
  static std::optional<RequestId> PrecedingWrite(const ClientConnection& client, std::uint64_t key);
  // Whether the client has ended its sending or reset the connection, whatever is still unread before that.
  static bool HasDisconnected(ClientConnection& client);
  // The text of a rejection's detail: when the client may retry, at most `wanted`; empty where the settings
  // forbid it.
  std::string RetryAfterText(Micros wanted) const;
  // Why the statement of that class is not accepted; nullopt: it is.
  std::optional<StatementError> FindStatementError(const pg::Statement& statement, int class_index) const;
  // The request is over; its response keeps its place in the order.
  void FinishRequest(ClientConnection& client, PendingResponse& pending);
  // Forwards what has arrived of a large value, if that is the next response. True: the response is complete
  // and has left the order.
  bool ForwardStream(const ConnectionPtr& client);
  void Write(const ConnectionPtr& client);
  // Ends a connection whose client broke the protocol.
  void OnProtocolError(const ConnectionPtr& client, pg::ProtocolError error);
  // Sends an error behind the responses that are pending, then closes the connection gracefully.
  void CloseWithError(const ConnectionPtr& client, std::string_view code, std::string_view message,
                      std::string_view detail = {});
  // Whether nothing is in flight for it and nothing that it sent is unread.
  bool IsIdle(const ClientConnection& client) const;
  void FindEvictionCandidates();
  void ShutDownWrite(const ConnectionPtr& client);
  void Close(const ConnectionPtr& client);
  void CheckTimeouts();
  void CheckTimeouts(const ConnectionPtr& client, Micros idle_timeout);
  void ScheduleTimeoutCheck();
  // Closes connections whose clients have disconnected while nothing is read from them.
  void CheckDisconnects();

  asio::io_context& io_;
  LoopClock& clock_;
  Dispatcher& dispatcher_;
  const ServingState& serving_state_;
  ListenerOptions options_;
  ListenerCounters counters_;
  asio::ip::tcp::acceptor acceptor_;
  CancellableTimer accept_pause_;
  CancellableTimer timeout_check_, disconnect_check_;
  std::unordered_set<ConnectionPtr> clients_;
  std::unordered_map<RequestId, ConnectionPtr> clients_by_request_;
  std::unordered_set<std::string> open_request_ids_;
  ClassNames classes_, tenants_;
  bool accepting_ = false;
  // Idle clients in the order of their eviction, as the last scan found them.
  struct Candidate {
    std::weak_ptr<ClientConnection> client;
    Micros last_active = 0;
  };
  std::deque<Candidate> eviction_candidates_;
  Micros next_eviction_scan_ = 0;
  StatementBudget statement_budget_;
  std::deque<std::weak_ptr<ClientConnection>> awaiting_reservation_;
  bool reservation_check_posted_ = false;
  // Bytes that are not read as messages yet; of statements in flight; of responses that wait for earlier
  // ones.
  std::size_t unread_bytes_ = 0, statement_bytes_ = 0, retained_bytes_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_CLIENT_LISTENER_HPP_
