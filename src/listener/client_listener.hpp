// The clients' side: accepts connections, reads requests and writes their final answers.
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
#include "src/listener/statement_budget.hpp"
#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "src/pg/protocol_error.hpp"
#include "src/pg/session_command.hpp"
#include "src/pg/statement.hpp"
#include "src/serving_state/serving_state.hpp"

namespace tulipyoke::net {

struct ListenerLimits {
  std::size_t most_clients = 0;
  // Requests; clients may hold no more connections for them than a third of the descriptors.
  std::size_t most_open = 0;
  std::size_t kept_clients = 0;      // from so many on each new one takes the place of an idle one
  std::size_t most_buffered = 0;     // bytes of all clients together: unread ones, and as many under way
  std::size_t large_statements = 0;  // bytes of those that room is set aside for
  // Requests of one connection that are open at the same time; what follows waits until one of them ends.
  std::size_t most_pipelined = 1;
};

struct ListenerOptions {
  asio::ip::tcp::endpoint listen;
  ListenerLimits limits;
  int accept_fd = -1;  // a listening socket that is held for all processes of this router
  // Called before each request is handed in: another process may have told something that it depends on.
  std::function<void()> before_request = [] {};
};

struct ListenerCounters {
  std::uint64_t accepted = 0, turned_away = 0, shed = 0, idle = 0, silent = 0;
  std::uint64_t malformed = 0, accept_errors = 0;
};

class ClientListener {
 public:
  // Throws std::runtime_error where the address cannot be listened on.
  ClientListener(asio::io_context& io, LoopClock& clock, Dispatcher& dispatcher,
                 const ServingState& serving_state, const ListenerOptions& options);
  ~ClientListener();

  void Deliver(RequestId id, const Response& answer);
  void StartAccepting();
  // What has connected and was not taken in is left to whoever shares the listening socket.
  void PauseAccepting();
  // Takes in what has connected already and accepts nothing more.
  void StopAccepting();
  void Resize(const ListenerLimits& limits);
  // The last word to all whose request has not come whole: from here on none can be served any more.
  void Dismiss();
  bool Owes(Micros patience) const;
  void Stop();
  // Closes an idle client, if there is one that has been idle for so long.
  bool ShedIdle(Micros least_idle = 0);

  std::size_t clients() const { return clients_.size(); }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const ListenerCounters& counters() const { return counters_; }

 private:
  struct Client;
  struct Reply;
  using ClientPtr = std::shared_ptr<Client>;
  using ClassNames = std::unordered_map<std::string, int>;

  void Accept();
  void Admit(asio::ip::tcp::socket socket);
  void Read(const ClientPtr& client);
  void Process(const ClientPtr& client);
  void ProcessLater(const ClientPtr& client);
  // Sets room aside for a large statement that has begun to come; false: it has to wait for it, unread.
  bool MakeRoom(const ClientPtr& client);
  void OnRoom();
  // Why the client is let go now; null: it is not.
  const char* TooLate(const Client& client) const;
  void OnStartup(const ClientPtr& client, std::string_view body);
  void OnMessage(const ClientPtr& client, char type, std::string_view body);
  void OnQuery(const ClientPtr& client, std::string_view text);
  // Whether the next message of this client may be handled now.
  bool MayTakeMore(const Client& client) const;
  // Puts an answer that is complete behind all earlier ones.
  void Respond(Client& client, std::string_view bytes);
  Reply& AddReply(Client& client);
  void DropFirstReply(Client& client);
  // Counts bytes of answers that wait for earlier ones.
  void Retain(Client& client, std::size_t size);
  // Moves the answers that are complete, and have no open request before them, to what is sent.
  void Flush(const ClientPtr& client);
  // The client says that it asks nothing more.
  void Terminate(const ClientPtr& client);
  // The open request of this client whose write the one with that session key has to see.
  static std::optional<RequestId> PrecedingWrite(const Client& client, std::uint64_t key);
  // Its machine has said by now that it sends no more, whatever is still unread before that.
  static bool HasLeft(Client& client);
  std::string ReturnIn(Micros time) const;
  const char* WhyNot(const pg::Statement* statement, const ClassNames::const_iterator& found) const;
  // The request is over; its reply stays where it is in the order.
  void EndRequest(Client& client, Reply& reply);
  // Passes on what has come of a large value, where that is the next answer.
  // True: it is through, and the answer to it is no longer in the order.
  bool PassOn(const ClientPtr& client);
  void Write(const ClientPtr& client);
  // Ends a connection whose client broke the protocol.
  void OnProtocolError(const ClientPtr& client, pg::ProtocolError error);
  // Says why, then ends the connection without losing what was said.
  void EndWith(const ClientPtr& client, std::string_view code, std::string_view message,
               std::string_view detail = {});
  // Nothing is under way for it, and nothing that it sent is still to be read.
  bool Idle(const Client& client) const;
  void LookForIdle();
  void Finish(const ClientPtr& client);
  void Close(const ClientPtr& client);
  void Sweep();
  void ArmSweep();
  // Closes those that have left while nothing is read of them.
  void LookForDepartures();

  asio::io_context& io_;
  LoopClock& clock_;
  Dispatcher& dispatcher_;
  const ServingState& serving_state_;
  ListenerOptions options_;
  ListenerCounters counters_;
  asio::ip::tcp::acceptor acceptor_;
  CancellableTimer accept_pause_;
  CancellableTimer sweep_, departures_;
  std::unordered_set<ClientPtr> clients_;
  std::unordered_map<RequestId, ClientPtr> asking_;
  std::unordered_set<std::string> open_ids_;
  ClassNames classes_, tenants_;
  bool accepting_ = false;
  // Idle clients, the first to go first, as the last look at all of them found them.
  struct Candidate {
    std::weak_ptr<Client> client;
    Micros last_active = 0;
  };
  std::deque<Candidate> to_shed_;
  Micros next_look_ = 0;
  StatementBudget budget_;
  std::deque<std::weak_ptr<Client>> awaiting_room_;
  bool room_posted_ = false;
  // Bytes not read as messages yet; of statements under way; of answers that wait for earlier ones.
  std::size_t buffered_ = 0, carried_ = 0, retained_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_CLIENT_LISTENER_HPP_
