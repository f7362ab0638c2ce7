// The clients' side: accepts connections, reads requests and writes their final answers.
#ifndef TULIPYOKE_SRC_NET_FRONT_HPP_
#define TULIPYOKE_SRC_NET_FRONT_HPP_

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

#include "src/event_loop/cancellable_timer.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/exchange/exchange.hpp"
#include "src/net/statement_budget.hpp"
#include "src/pg/statement.hpp"
#include "src/pg/wire.hpp"
#include "src/serving_state/serving_state.hpp"

namespace tulipyoke::net {

struct FrontLimits {
  std::size_t most_clients = 0;
  // Requests; clients may hold no more connections for them than a third of the descriptors.
  std::size_t most_open = 0;
  std::size_t kept_clients = 0;      // from so many on each new one takes the place of an idle one
  std::size_t most_buffered = 0;     // bytes of all clients together: unread ones, and as many under way
  std::size_t large_statements = 0;  // bytes of those that room is set aside for
};

struct FrontOptions {
  asio::ip::tcp::endpoint listen;
  FrontLimits limits;
  int accept_fd = -1;  // a listening socket that is held for all processes of this router
  // Called before each request is handed in: another process may have told something that it depends on.
  std::function<void()> before_request = [] {};
};

struct FrontCounters {
  std::uint64_t accepted = 0, turned_away = 0, shed = 0, idle = 0, silent = 0;
  std::uint64_t malformed = 0, accept_errors = 0;
};

class ClientFront {
 public:
  // Throws std::runtime_error where the address cannot be listened on.
  ClientFront(asio::io_context& io, LoopClock& clock, Exchange& exchange, const ServingState& serving_state,
              const FrontOptions& options);
  ~ClientFront();

  void Deliver(RequestId id, const Answer& answer);
  void StartAccepting();
  // What has connected and was not taken in is left to whoever shares the listening socket.
  void PauseAccepting();
  // Takes in what has connected already and accepts nothing more.
  void StopAccepting();
  void Resize(const FrontLimits& limits);
  // The last word to all whose request has not come whole: from here on none can be served any more.
  void Dismiss();
  bool Owes(Micros patience) const;
  void Stop();
  // Closes an idle client, if there is one that has been idle for so long.
  bool ShedIdle(Micros least_idle = 0);

  std::size_t clients() const { return clients_.size(); }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const FrontCounters& counters() const { return counters_; }

 private:
  struct Client;
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
  // Its machine has said by now that it sends no more, whatever is still unread before that.
  static bool HasLeft(Client& client);
  std::string ReturnIn(Micros time) const;
  const char* WhyNot(const pg::Statement* statement, const ClassNames::const_iterator& found) const;
  void EndRequest(const ClientPtr& client);
  // Passes on what has come of a large value.
  void PassOn(const ClientPtr& client);
  void Write(const ClientPtr& client);
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

  asio::io_context& io_;
  LoopClock& clock_;
  Exchange& exchange_;
  const ServingState& serving_state_;
  FrontOptions options_;
  FrontCounters counters_;
  asio::ip::tcp::acceptor acceptor_;
  CancellableTimer accept_pause_;
  CancellableTimer sweep_;
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
  std::size_t buffered_ = 0, carried_ = 0;  // bytes not read as messages yet; statements under way
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_FRONT_HPP_
