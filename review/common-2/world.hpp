// The world around the router for the cases of review 2: routers as separate processes, and stand-ins for
// readings servers, clients and discovery, all on loopback addresses and in one thread. It uses standalone
// Asio and nlohmann-json only. Everything that happens is written to the case's record.
#ifndef TULIPYOKE_REVIEW_COMMON_2_WORLD_HPP_
#define TULIPYOKE_REVIEW_COMMON_2_WORLD_HPP_

#include <sys/types.h>

#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review2 {

using Json = nlohmann::json;
using Us = std::int64_t;  // microseconds
using tcp = asio::ip::tcp;

constexpr Us kMs = 1000;
constexpr Us kSecond = 1'000'000;

// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

// Unix time in microseconds, on the monotonic clock since the program's start.
Us Now();

class World {
 public:
  // `record` is the file of the case's record; the router is run from the project's `root`.
  World(const std::string& root, const std::string& record);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  asio::io_context& io() { return io_; }
  // One line of the record, with the time since the start of the world in milliseconds.
  void Note(const std::string& text);
  void At(Us after, std::function<void()> action);
  void RunFor(Us time);
  // Runs until the condition holds; false if it does not within `time`.
  bool RunUntil(const std::function<bool()>& condition, Us time);
  const std::string& root() const { return root_; }
  const std::filesystem::path& folder() const { return folder_; }
  Us start() const { return start_; }
  // An operator's call over HTTP; returns the status, or 0 if there was no answer within 2 s.
  int Call(std::uint16_t port, const std::string& method, const std::string& path);
  std::mt19937& random() { return random_; }

 private:
  std::string root_;
  std::filesystem::path folder_;
  std::ofstream record_;
  Us start_;
  asio::io_context io_{1};
  std::mt19937 random_{1};
};

// ---- Routers

// What the processes of one router share where the platform holds the clients' socket for them.
class Platform {
 public:
  explicit Platform(World& world);
  std::uint16_t port() const { return port_; }
  int descriptor() { return acceptor_.native_handle(); }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::filesystem::path folder_;
};

// One router process, started with the `run` command of the deploy file.
class Router {
 public:
  // `config` needs no name, listen address, address for operators or seed.
  Router(World& world, const std::string& name, Json config);
  // Another process of the router `name`; `process` names it in the record.
  Router(World& world, const std::string& name, const std::string& process, Platform& platform, Json config);
  ~Router();
  std::uint16_t port() const { return port_; }
  std::uint16_t operator_port() const { return operator_port_; }
  const std::string& name() const { return name_; }
  void Start();
  void Signal(int signal);
  // Whether the process is still there.
  bool Running();
  void Kill();
  // Rewrites the configuration file.
  void Configure(Json config);
  std::string Log() const;

 private:
  World& world_;
  std::string name_, process_;
  Platform* platform_ = nullptr;
  Json config_;
  tcp::acceptor reserved_port_, reserved_operator_port_;
  std::uint16_t port_ = 0, operator_port_ = 0;
  pid_t pid_ = -1;
};

// ---- Readings servers

// A statement that arrived whole.
struct Arrival {
  Us first_byte = 0, last_byte = 0;
  std::string id, request_class, key, session;
  int time_left_ms = 0;
  bool write = false;
  int connection = 0;
  std::string end;  // "", "ran", "miss", "refused", "error"
  Us ended = 0;
  Us position = 0;  // of the data that a read was answered from
};

// The positions that a server has applied, as a function of time.
class Log {
 public:
  explicit Log(Us ship = 5 * kMs) : ship_(ship) {}
  // From now on it applies `rate` seconds of the log in a second, unless it has caught up.
  void SetRate(Us now, double rate) {
    position_ = At(now);
    since_ = now;
    rate_ = rate;
  }
  Us At(Us now) const {
    const Us newest = now - ship_;
    if (since_ == 0) return newest;
    const Us applied = position_ + static_cast<Us>(rate_ * static_cast<double>(now - since_));
    return std::min(newest, applied);
  }

 private:
  Us ship_, position_ = 0, since_ = 0;
  double rate_ = 10;
};

struct Behaviour {
  bool primary = false;
  Us service = 20 * kMs;   // until an answer
  double fails = 0;        // share answered XX000, though it may have run
  bool hangs = false;      // takes requests and answers none
  bool draining = false;   // turns statements away with 53300
  bool guards = false;     // turns away a read for which it is too far behind, with 72000
  Us handshake = 2 * kMs;  // until a new connection is ready
  double late_share = 0;   // of the new connections that come up late
  Us late = 0;             // how late those come up
  Us idle_close = 0;       // closes a connection that rests for so long; 0: never
};

class Server {
 public:
  Server(World& world, std::string id, int group, std::string zone, Behaviour behaviour);
  ~Server();
  const std::string& id() const { return id_; }
  std::uint16_t port() const { return port_; }
  const std::string& zone() const { return zone_; }
  // Its entry in discovery's list.
  Json Entry(const std::string& phase = "in_service", std::int64_t up_since_ms = 0) const;
  Us PositionAt(Us now) const { return behaviour.primary ? now : log.At(now); }
  const std::deque<Arrival>& arrivals() const { return arrivals_; }
  std::size_t probes() const { return probes_; }
  // The process dies: connections are reset and new ones are refused.
  void Die();
  void Listen();

  Behaviour behaviour;
  Log log;
  // Called for each statement that arrives whole, before it is run.
  std::function<void(const Arrival&)> on_arrival;

 private:
  struct Session;
  void Accept();
  void Read(const std::shared_ptr<Session>& session);
  void Take(const std::shared_ptr<Session>& session);
  void Query(const std::shared_ptr<Session>& session, const std::string& text);
  void Answer(const std::shared_ptr<Session>& session, std::size_t index);
  void AnswerProbe(const std::shared_ptr<Session>& session);
  void CloseIfIdle(const std::shared_ptr<Session>& session);
  void Send(const std::shared_ptr<Session>& session, const std::string& bytes);
  std::string Notes(Us now, bool commit) const;

  World& world_;
  std::string id_, zone_;
  int group_;
  std::uint16_t port_ = 0;
  tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::deque<Arrival> arrivals_;
  std::size_t probes_ = 0;
  int connections_ = 0;
};

// ---- Discovery

// The registry, or the agent of one router: HTTP on loopback.
class Discovery {
 public:
  explicit Discovery(World& world);
  ~Discovery();
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Replaces the entries with the same id. A watch that is open is told at once.
  void Tell(const std::vector<Json>& entries);
  // While down, it ends all watches and answers calls with 503.
  void SetDown(bool down);
  // The list in discovery's form.
  Json Listing() const;
  std::size_t calls() const { return calls_; }
  std::size_t watches() const { return watches_.size(); }
  // Called when a watch has been answered with its first list.
  std::function<void(const std::string& peer)> on_call;

 private:
  struct Watch;
  void Accept();
  void Read(const std::shared_ptr<Watch>& watch);
  void Open(const std::shared_ptr<Watch>& watch);
  void Line(const std::shared_ptr<Watch>& watch, const std::string& line);
  void Beat();

  World& world_;
  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  asio::steady_timer heartbeat_;
  bool down_ = false;
  int revision_ = 1;
  std::map<std::string, Json> members_;
  std::set<std::shared_ptr<Watch>> watches_;
  std::size_t calls_ = 0;
};

// ---- Clients

struct Request {
  std::string id, request_class, session;
  bool write = false;
  int deadline_ms = 0;
  std::string router;
  Us sent = 0;       // its last byte
  Us answered = 0;   // 0: never
  std::string code;  // "served", an SQLSTATE, or "closed"
  std::string value;
};

// The clients of one router: each request takes a connection that rests, or a new one.
class Clients {
 public:
  using Done = std::function<void(const Request&)>;

  Clients(World& world, std::string router, std::uint16_t port)
      : world_(world), router_(std::move(router)), port_(port) {}
  ~Clients();
  // One statement; `extra` stands in the comment behind the other values, such as ",k=1".
  void Ask(const std::string& request_class, bool write, int deadline_ms, const std::string& session,
           int cluster, const std::string& extra = "", Done done = {});
  // Asks without a pause between two requests other than `interval`, until Stop.
  void Repeat(Us interval, std::function<void()> ask);
  void Stop() { stopped_ = true; }
  // Whether the router answers an empty query with EmptyQueryResponse.
  void Check(std::function<void(bool)> done);
  const std::deque<Request>& requests() const { return requests_; }
  std::size_t open() const { return open_; }

 private:
  struct Connection;
  void Send(const std::shared_ptr<Connection>& connection);
  void Connect(std::size_t index, std::string text, Done done, bool again);
  void Read(const std::shared_ptr<Connection>& connection);
  void End(const std::shared_ptr<Connection>& connection, const std::string& code, bool closed);

  World& world_;
  std::string router_;
  std::uint16_t port_;
  bool stopped_ = false;
  std::deque<Request> requests_;
  std::vector<std::shared_ptr<Connection>> resting_;
  std::set<std::shared_ptr<Connection>> all_;
  std::size_t open_ = 0;
  int next_ = 1;
};

// Waits until each router answers an empty query; false if one does not within 30 s.
bool AwaitRouters(World& world, const std::vector<std::unique_ptr<Clients>>& clients);

// Whether the environment asks for the disruption; TROUBLE=0 does not.
bool Trouble();

}  // namespace review2

#endif  // TULIPYOKE_REVIEW_COMMON_2_WORLD_HPP_
