// Accepts client connections, reads requests and sends the responses in request order.
#ifndef TULIPYOKE_SRC_LISTENER_CLIENT_LISTENER_HPP_
#define TULIPYOKE_SRC_LISTENER_CLIENT_LISTENER_HPP_

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "src/event_loop/cancellable_timer.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/listener/read_timeout.hpp"
#include "src/listener/rejection_reason.hpp"
#include "src/listener/statement_budget.hpp"
#include "src/listener/statement_error.hpp"
#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "src/pg/protocol_error.hpp"
#include "src/pg/session_command.hpp"
#include "src/pg/statement.hpp"
#include "src/requests/used_request_ids.hpp"
#include "src/serving_state/serving_state.hpp"

namespace tulipyoke::net {

inline constexpr std::size_t kReadSize = 8192;  // maximum bytes per socket read

struct ListenerLimits {
  std::size_t max_clients = 0;
  // Open requests of all clients. Client connections may use no more than a third of the descriptors.
  std::size_t max_open_requests = 0;
  std::size_t eviction_threshold = 0;  // number of clients from which a new one evicts idle ones
  // Bytes of all clients. The limit applies separately to unread bytes, to statements in flight and to
  // responses that are not sent yet. The responses may exceed it, up to twice as much, for clients that have
  // read all of theirs.
  std::size_t max_buffered_bytes = 0;
  std::size_t large_statement_bytes = 0;  // memory budget for large statements
  // Open requests of one connection. Further statements wait until one of them ends.
  std::size_t max_pipelined_requests = 1;
};

// Tests shorten it.
struct ListenerTimeouts {
  Micros write = 30'000'000;  // a client that reads none of its pending output for this long is disconnected
  // How long statements of a connection that is to be closed are still processed while more keep arriving.
  Micros close_when_idle = 10'000'000;
  // How long before the exit of the process a statement may pause while it arrives without being rejected.
  Micros pause_at_exit = 50'000;
  // A client that has sent no request within this time of connecting is evicted first, and closed while the
  // router drains if this much has also passed since its startup.
  Micros first_request = 200'000;
};

// What happens to input that has not been processed when the process is about to exit.
enum class UnreadInput {
  kProcess,  // it is read, so that each statement gets a response
  kReject,   // there is no time left to serve it: what is there already is rejected
};

struct ListenerOptions {
  asio::ip::tcp::endpoint listen;
  ListenerLimits limits;
  int accept_fd = -1;  // listening socket shared by all processes of this router, or -1
  // Called before each statement is checked, so that pending updates from another process, on which the
  // request may depend, are applied first.
  std::function<void()> before_request = [] {};
  ListenerTimeouts timeouts = {};
  // Called with the key of each request that must not run twice, before it is submitted.
  std::function<void(requests::RequestIdKey)> on_request_id = [](requests::RequestIdKey) {};
};

// Connections accepted, evicted, and closed by idle or read timeouts; connections or statements rejected
// because a limit was reached; malformed messages and rejected statements; failures to accept.
struct ListenerCounters {
  std::uint64_t accepted = 0, rejected = 0, evicted = 0, idle_timeouts = 0, read_timeouts = 0;
  std::uint64_t malformed = 0, accept_errors = 0;
};

struct ClientConnection;
struct PendingResponse;

// Used only on the event loop thread. It must outlive its connections: their asynchronous handlers use it.
class ClientListener {
 public:
  // Throws std::runtime_error if listening on the address fails.
  ClientListener(asio::io_context& io, LoopClock& clock, Dispatcher& dispatcher,
                 const ServingState& serving_state, const ListenerOptions& options);
  ~ClientListener();

  // Passes the dispatcher's response to the client. Ignored if the client has disconnected.
  void Deliver(RequestId id, const Response& response);
  void StartAccepting();
  // Stops accepting. Connections in the backlog are left to the process that shares the socket.
  void PauseAccepting();
  // Accepts the connections in the backlog, then closes the listening socket.
  void StopAccepting();
  // Replaces the limits when another process of this router starts sharing the resources or has ended.
  void SetLimits(const ListenerLimits& limits);
  // Rejects the statements of each client that has no pending response, sends an error and closes it: a
  // request that arrives now could not be served any more. `unread_input` applies to clients that are
  // sending.
  void RejectClientsWithoutRequests(UnreadInput unread_input);
  // Whether a client still waits for a response or for the rest of one, is being closed, has unread input in
  // its socket, or connected or began an incomplete message less than `grace` ago.
  bool HasUnfinishedClients(Micros grace) const;
  // Whether the sockets of clients have not accepted all complete responses yet.
  bool HasUnsentResponses() const { return unsent_bytes_ > 0; }
  void Stop();
  // Closes a client that has been idle for at least `min_idle`. Returns false if there is none.
  bool EvictIdle(Micros min_idle = 0);

  // The ids of requests that must not run twice and have been accepted lately, by this process or, if added
  // here, by another one of the router.
  void AddUsedRequestId(requests::RequestIdKey key) { used_request_ids_.Add(key, clock_.Now()); }
  std::vector<requests::RequestIdKey> UsedRequestIds() const { return used_request_ids_.Keys(clock_.Now()); }

  std::size_t clients() const { return clients_.size(); }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const ListenerCounters& counters() const { return counters_; }

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;
  using IndexByName = std::unordered_map<std::string, int>;

  void Accept();
  void AddConnection(asio::ip::tcp::socket socket);
  // Waits for input and processes it.
  void Read(const ConnectionPtr& client);
  void OnReadable(const ConnectionPtr& client);
  // Reads what is in the socket, at most kReadSize bytes, without waiting. The bytes are valid until the next
  // call; none if there is nothing yet, nullopt if the client has ended the connection.
  std::optional<std::string_view> Receive(ClientConnection& client);
  // Adds input to what has not been processed.
  void Feed(ClientConnection& client, std::string_view bytes);
  // Sends complete responses, processes the messages that have arrived, and continues reading.
  void ProcessInput(const ConnectionPtr& client);
  void ProcessMessages(const ConnectionPtr& client);
  // Updates the total of unread bytes. Returns true if it exceeds the limit and more than one read's worth of
  // it belongs to this client.
  bool UpdateUnreadBytes(const ConnectionPtr& client);
  void ScheduleProcessing(const ConnectionPtr& client);
  // When the last byte of the message that has just been read was sent by the client, as far as it is known.
  Micros ArrivalTimeOf(const ClientConnection& client, Micros read_at) const;
  // Reserves memory for a large statement that has begun to arrive. Returns false if the statement must wait
  // for memory; the client is not read from until then.
  bool ReserveStatement(const ConnectionPtr& client);
  void OnReservationReleased();
  // How long a client with unsent output, or whose connection is shut down, has not acknowledged any bytes.
  Micros TimeSinceProgress(ClientConnection& client) const;
  // Returns which read timeout the client has exceeded, or nullopt.
  std::optional<ReadTimeout> FindReadTimeout(const ClientConnection& client) const;
  void OnStartup(const ConnectionPtr& client, std::string_view body);
  void OnMessage(const ConnectionPtr& client, char type, std::string_view body);
  void OnQuery(const ConnectionPtr& client, std::string_view text);
  void OnEmptyQuery(ClientConnection& client);
  void OnStatement(const ConnectionPtr& client, std::string_view text);
  void RejectStatement(const ConnectionPtr& client, StatementError error, std::optional<int> class_index);
  // Rejects a valid statement if the router is out of service or a limit is reached. Returns whether it did.
  bool RejectIfUnavailable(const ConnectionPtr& client, int class_index, std::size_t statement_size);
  // Rejects a valid statement of a connection that is closed when the client is idle.
  void RejectAndCloseWhenIdle(ClientConnection& client, int class_index, RejectionReason reason);
  void SubmitRequest(const ConnectionPtr& client, const pg::Statement& statement, int class_index,
                     std::string_view text);
  // Keeps the id of a request that must not run twice from being used again, also by the router's other
  // processes.
  void ProtectRequestId(PendingResponse& pending, int class_index);
  // The request has ended. Its id may be used again if it certainly has not run.
  void ReleaseRequestId(PendingResponse& pending, bool may_have_run);
  // Whether this client's next message may be processed now.
  bool MayProcessNext(const ClientConnection& client) const;
  // Queues a complete response after all earlier ones.
  void Respond(ClientConnection& client, std::string_view bytes);
  PendingResponse& AddPendingResponse(ClientConnection& client);
  void RemoveFirstResponse(ClientConnection& client);
  // Updates the total of bytes that the clients' sockets have not accepted yet.
  void UpdateUnsentBytes(ClientConnection& client);
  // The bytes of all responses that are queued or not accepted by the clients' sockets.
  std::size_t response_bytes() const { return queued_bytes_ + unsent_bytes_; }
  // Adds to the byte counts of responses queued behind earlier ones.
  void AddQueuedBytes(ClientConnection& client, std::size_t size);
  // Moves the complete responses that precede the first open request to the output buffer.
  void FlushResponses(const ConnectionPtr& client);
  // Handles Terminate: the client ends its session.
  void OnTerminate(const ConnectionPtr& client);
  // Returns the client's last open write to the session `key`, which a new request of that session must see.
  static std::optional<RequestId> PrecedingWrite(const ClientConnection& client, std::uint64_t key);
  // Whether the client has shut down its sending direction or reset the connection, even if unread input
  // precedes that.
  static bool HasDisconnected(ClientConnection& client);
  // Returns the detail text of a rejection: after how many milliseconds the client may retry, at most
  // `suggested`. Empty if the settings forbid it.
  std::string RetryAfterText(Micros suggested) const;
  // Returns why a statement of this class is not accepted, or nullopt if it is.
  std::optional<StatementError> FindStatementError(const pg::Statement& statement, int class_index);
  // Removes a finished request from the open ones. Its response keeps its place in the queue.
  void FinishRequest(ClientConnection& client, PendingResponse& pending);
  // Forwards the available bytes of a large value if it is the next response. Returns true once the response
  // is complete and has been removed from the queue.
  bool ForwardStream(const ConnectionPtr& client);
  void Write(const ConnectionPtr& client);
  void WriteOutput(const ConnectionPtr& client);
  // Closes a connection whose client violated the protocol.
  void OnProtocolError(const ConnectionPtr& client, pg::ProtocolError error);
  // Processes the next message that has been read completely. Returns false if there is none.
  bool ProcessMessage(const ConnectionPtr& client);
  // Rejects the statements that have been read and not processed, then closes the connection with the same
  // error. The error is also the response to a statement of which only a part has been read.
  void RejectAndClose(const ConnectionPtr& client, RejectionReason reason);
  // The same for the statements that are still in the socket. Reads at most `max_input` bytes and subtracts
  // what it has read.
  void RejectAndClose(const ConnectionPtr& client, RejectionReason reason, std::size_t& max_input);
  // Reads what is in the socket, at most `max_input` bytes, from which it subtracts what it has read. Returns
  // whether there was anything.
  bool ReadMore(ClientConnection& client, std::size_t& max_input);
  // Sends an error after the pending responses, then closes the connection gracefully. Input that has not
  // been processed is dropped.
  void CloseWithError(const ConnectionPtr& client, std::string_view code, std::string_view message,
                      std::string_view detail = {});
  // Closes the connection once all statements that the client has sent so far are answered. Those that arrive
  // until then are processed too, for a limited time if they keep coming.
  void CloseWhenIdle(ClientConnection& client);
  // Whether the connection is closed as soon as the client is idle.
  bool IsClosedWhenIdle(const ClientConnection& client) const;
  // Whether the client has input in its socket, or is in the middle of a statement, and is read from.
  bool IsSending(const ClientConnection& client) const;
  // Whether the client has kept sending for ListenerTimeouts::close_when_idle since its connection was to be
  // closed.
  bool KeepsSending(const ClientConnection& client) const;
  // Whether the client is still expected to send its first request.
  bool HasJustConnected(const ClientConnection& client) const;
  // The same, where the time counts anew from the end of the startup.
  bool HasJustStarted(const ClientConnection& client) const;
  // Whether the client has no pending response and no unread input, and is not being closed.
  bool IsIdle(const ClientConnection& client) const;
  void FindEvictionCandidates();
  void ShutDownWrite(const ConnectionPtr& client);
  void Close(const ConnectionPtr& client);
  void CheckTimeouts();
  void CheckTimeouts(const ConnectionPtr& client, Micros idle_timeout);
  void ScheduleTimeoutCheck();
  // Closes connections that are not being read from and whose clients have disconnected.
  void CheckDisconnects();
  // Sends a client with open requests something that it ignores, to find out whether it is still there.
  void ProbeConnection(const ConnectionPtr& client);

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
  requests::UsedRequestIds used_request_ids_;
  IndexByName classes_, tenants_;
  bool accepting_ = false;
  // Idle clients found by the last scan, in eviction order.
  struct Candidate {
    std::weak_ptr<ClientConnection> client;
    Micros last_active = 0;
  };
  std::deque<Candidate> eviction_candidates_;
  Micros next_eviction_scan_ = 0;
  StatementBudget statement_budget_;
  const Micros reservation_timeout_;
  std::array<char, kReadSize> input_{};  // what has just been read from one client
  std::deque<std::weak_ptr<ClientConnection>> awaiting_reservation_;
  bool reservation_check_posted_ = false;
  // Totals over all clients: bytes not yet parsed as messages, bytes of statements in flight, bytes of
  // responses queued behind earlier ones, and bytes that the clients' sockets have not accepted yet.
  std::size_t unread_bytes_ = 0, statement_bytes_ = 0, queued_bytes_ = 0, unsent_bytes_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_CLIENT_LISTENER_HPP_
