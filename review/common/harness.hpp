// What the cases of the review share: a record of events, PostgreSQL messages over blocking sockets, and
// stand-ins for the registry, the readings servers, the clients and the platform that starts a router.
// Every socket is on 127.0.0.1, and every port is chosen by the system.
#ifndef TULIPYOKE_REVIEW_COMMON_HARNESS_HPP_
#define TULIPYOKE_REVIEW_COMMON_HARNESS_HPP_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

// The exit status of a case.
inline constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;

// Microseconds of Unix time, on a monotonic clock that was set once at the start.
std::int64_t Now();
inline std::int64_t NowMs() { return Now() / 1000; }
void SleepMs(std::int64_t ms);
// Whether the disruption of the case is on: the environment variable TROUBLE is not 0.
bool Trouble();

// Writes one line per event, with the milliseconds since the start, to the file and nothing to the screen.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);
  // Writes the line also to standard output.
  void Say(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_;
  std::int64_t start_;
};

// PostgreSQL messages, version 3.
struct Message {
  char type = 0;
  std::string body;
};
std::string Encode(char type, std::string_view body);
std::string StartupMessage();
std::string QueryMessage(const std::string& text);
std::string Parameter(const std::string& name, const std::string& value);
std::string RowMessages(const std::string& value);  // RowDescription, DataRow, CommandComplete
std::string ErrorMessage(const std::string& code, const std::string& text);
std::string ReadyMessage();
// The SQLSTATE of an ErrorResponse.
std::string CodeOf(const Message& error);
// The text between `name=` and the next comma, space or end in the comment of a statement; empty if absent.
std::string Field(const std::string& statement, const std::string& name);
// The value of the first quoted string of a statement.
std::string HandleOf(const std::string& statement);

// A connected socket. Not thread-safe, except that Shut may be called from another thread.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {}
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool Write(std::string_view bytes) const;
  // Returns none at the end of the connection, after an error, or after `timeout_ms`; -1: no limit.
  std::optional<Message> Read(int timeout_ms = -1);
  // The same for the client's startup packet, which has no type.
  bool ReadStartup();
  // One line of text without its end.
  std::optional<std::string> ReadLine(int timeout_ms = -1);
  // Whether the other side has ended the connection, as far as Read has noticed.
  bool ended() const { return ended_; }
  void Shut() const;  // both directions
  void Reset();       // closes with RST
  int fd() const { return fd_; }

 private:
  bool Fill(std::size_t size, int timeout_ms);

  int fd_;
  std::string buffer_;
  bool ended_ = false;
};
using ChannelPtr = std::shared_ptr<Channel>;

struct SocketOptions {
  int receive_buffer = 0;  // bytes; 0: the system's default
  int segment = 0;         // largest TCP segment in bytes; 0: the system's default
};
ChannelPtr Connect(std::uint16_t port, SocketOptions options = {});
std::uint16_t FreePort();
// A listening socket that a started process inherits, as a platform holds one for a router.
int ListenForRouter(std::uint16_t& port);

// Accepts connections on a port of its own and runs `serve` for each in a thread of its own.
class Acceptor {
 public:
  using Serve = std::function<void(const ChannelPtr& channel, int number)>;
  explicit Acceptor(Serve serve, std::uint16_t port = 0);
  ~Acceptor();
  std::uint16_t port() const { return port_; }
  // Closes the listening socket and resets all connections, as when the process dies.
  void Stop();

 private:
  void Run();

  Serve serve_;
  std::uint16_t port_ = 0;
  int listener_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Channel>> channels_;
  std::atomic<int> running_ = 0;
  std::thread thread_;
};

// The agent that holds the list of readings servers: answers a watch with the whole list, then with changes,
// and with an empty line every 2 s.
class Registry {
 public:
  Registry();
  ~Registry();
  std::uint16_t port() const { return acceptor_->port(); }
  // Replaces the whole list, whose entries are JSON objects.
  void SetList(const std::vector<std::string>& members);
  // Changes one entry and tells all watches.
  void Change(const std::string& member);

 private:
  void Serve(const ChannelPtr& channel);

  std::mutex mutex_;
  std::vector<std::string> members_;  // the whole list
  std::vector<std::string> changes_;  // the lines written since the start, one per revision after the first
  std::atomic<bool> stopped_ = false;
  std::unique_ptr<Acceptor> acceptor_;
};

std::string Member(const std::string& id, std::uint16_t port, const std::string& zone,
                   const std::string& phase = "in_service", int cell = 0);

// A readings server. It starts a query once its last byte has arrived, one at a time on each connection.
struct Query {
  std::string text;
  std::int64_t arrived = 0;  // when its last byte was there
  bool probe = false;
  int connection = 0;
};
class ReadingsServer {
 public:
  struct Behaviour {
    // Returns the bytes of the whole answer; called in the thread of the connection and may sleep. An empty
    // answer resets the connection.
    std::function<std::string(const Query&)> answer;
    // How long the session of the n-th connection takes to come up, in milliseconds.
    std::function<int(int number)> startup_delay = [](int) { return 0; };
    // The server closes a connection that was idle for this long, in milliseconds; 0: never.
    int idle_close_ms = 0;
  };
  explicit ReadingsServer(Behaviour behaviour);
  std::uint16_t port() const { return acceptor_->port(); }
  void Stop() { acceptor_->Stop(); }

 private:
  Behaviour behaviour_;
  std::unique_ptr<Acceptor> acceptor_;
};

// The configuration of a router of a small deployment.
struct ConfigOptions {
  std::uint16_t port = 0, registry = 0;
  std::uint16_t admin = 0;           // 0: no admin server
  std::vector<std::string> members;  // the list of readings servers as it was last known
  std::string services;              // the request classes: JSON objects, separated by commas
  std::string freshness;             // of each class: JSON strings, separated by commas
  std::string bounds;                // of each class, in microseconds, separated by commas
  std::string guards = "hold";
  int memory_mb = 192, sockets = 1024;  // the limits of the process
};
std::string ConfigText(const ConfigOptions& options);
// The classes `history-read` and `reading-write` of the deployment.
std::string HistoryRead();
std::string ReadingWrite();

// What servers tell besides the answer: the report to a probe, and role and position with every answer.
std::string ProbeAnswer(bool primary, std::int64_t position_ms);
std::string Told(bool primary, std::int64_t position_ms);

// A router, started with the `run` command of deploy/balancer.toml from the root of the repository.
class Router {
 public:
  // `config` is the content of the configuration file. Throws std::runtime_error if it does not start.
  Router(const std::string& root, const std::string& folder, const std::string& name,
         const std::string& config, std::vector<std::pair<std::string, std::string>> environment = {});
  ~Router();
  void Signal(int signal) const;
  // Whether the process has ended; collects its status.
  bool Ended();
  // Peak and present resident memory in bytes; 0 after the end.
  std::size_t PeakMemory() const;
  std::size_t Memory() const;
  std::string log_path() const { return log_path_; }

 private:
  int pid_ = -1;
  bool ended_ = false;
  std::string log_path_;
};

// Waits until the router answers the empty query, as the front does. Returns false after `timeout_ms`.
bool AwaitReady(std::uint16_t port, int timeout_ms);

// Opens a session with a router: startup and everything up to ReadyForQuery. Null if it fails.
ChannelPtr OpenSession(std::uint16_t port, int timeout_ms = 2000, SocketOptions options = {});

// One request to the admin server of a router; returns the status line, or why there is none.
std::string CallAdmin(std::uint16_t port, const std::string& method, const std::string& path);

// The answer to one statement.
struct Answer {
  enum class Kind { kServed, kRefused, kFailed, kClosed, kNone };
  Kind kind = Kind::kNone;  // kNone: nothing came in time; kClosed: the connection ended without an answer
  std::string value, code;
};
const char* NameOf(Answer::Kind kind);
// Reads up to the end of one answer; after a fatal error no ReadyForQuery is needed.
Answer ReadAnswer(Channel& channel, int timeout_ms);

// A temporary folder, removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Runs the case: returns kNotRun, and says why, after an exception.
int RunCase(const char* record_path, const std::function<int(Record&)>& run);

}  // namespace review

#endif  // TULIPYOKE_REVIEW_COMMON_HARNESS_HPP_
