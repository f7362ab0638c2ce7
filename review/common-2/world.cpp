#include "world.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review2 {
namespace {

tcp::endpoint Loopback(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

std::string Big32(std::uint32_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>(value >> shift);
  return bytes;
}

std::string Big16(std::uint16_t value) { return {static_cast<char>(value >> 8), static_cast<char>(value)}; }

std::uint32_t Read32(const std::string& bytes, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

std::string Message(char type, const std::string& body) {
  return type + Big32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string Zero(const std::string& text) { return text + '\0'; }

std::string Ready() { return Message('Z', "I"); }

std::string Status(const std::string& name, const std::string& value) {
  return Message('S', Zero(name) + Zero(value));
}

std::string Row(const std::string& value) {
  // One column of the type bytea (17), in binary form.
  const std::string column =
      Zero("blob") + Big32(0) + Big16(0) + Big32(17) + Big16(0xFFFF) + Big32(0xFFFFFFFF) + Big16(1);
  return Message('T', Big16(1) + column) +
         Message('D', Big16(1) + Big32(static_cast<std::uint32_t>(value.size())) + value) +
         Message('C', Zero("SELECT 1"));
}

std::string Error(const std::string& code, const std::string& text) {
  return Message('E', Zero("SERROR") + Zero("VERROR") + Zero("C" + code) + Zero("M" + text) + '\0');
}

std::string Startup() {
  const std::string body =
      Big32(196608) + Zero("user") + Zero("api") + Zero("database") + Zero("ledger") + '\0';
  return Big32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

// The value of `name` in the comment that ends the statement.
std::string Field(const std::string& text, const std::string& name) {
  const std::size_t comment = text.rfind("/*");
  if (comment == std::string::npos) return "";
  std::string fields = text.substr(comment + 2, text.size() - comment - 4);
  std::replace(fields.begin(), fields.end(), ' ', ',');
  std::stringstream stream(fields);
  for (std::string field; std::getline(stream, field, ',');) {
    if (field.rfind(name + "=", 0) == 0) return field.substr(name.size() + 1);
  }
  return "";
}

std::string Quoted(const std::string& text) {
  const std::size_t begin = text.find('\'');
  return begin == std::string::npos ? "" : text.substr(begin + 1, text.find('\'', begin + 1) - begin - 1);
}

std::string ErrorCode(const std::string& body) {
  for (std::size_t at = 0; at < body.size() && body[at] != '\0';) {
    const std::size_t end = body.find('\0', at);
    if (body[at] == 'C') return body.substr(at + 1, end - at - 1);
    at = end + 1;
  }
  return "";
}

// Takes a free port and keeps it bound, without listening, so that nobody else is given it. The router may
// bind it as well, because both sockets allow that.
std::uint16_t TakePort(tcp::acceptor& reserved) {
  reserved.open(tcp::v4());
  reserved.set_option(tcp::acceptor::reuse_address(true));
  reserved.bind(Loopback(0));
  return reserved.local_endpoint().port();
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace

Us Now() {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  static const auto steady = std::chrono::steady_clock::now();
  static const Us unix_time =
      duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  return unix_time + duration_cast<microseconds>(std::chrono::steady_clock::now() - steady).count();
}

bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// ---- World

World::World(const std::string& root, const std::string& record)
    : root_(root), record_(record), start_(Now()) {
  // Nothing outlives the script, and a case ends within its time.
  constexpr unsigned kLongestSeconds = 115;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  alarm(kLongestSeconds);
  std::string name = (std::filesystem::temp_directory_path() / "review2-XXXXXX").string();
  if (!mkdtemp(name.data())) throw std::runtime_error("no temporary folder");
  folder_ = name;
  if (!record_) throw std::runtime_error("cannot write " + record);
}

World::~World() {
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void World::Note(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%11.3f ", static_cast<double>(Now() - start_) / 1000);
  record_ << time << text << std::endl;
}

void World::At(Us after, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(after));
  timer->async_wait([timer, action = std::move(action)](std::error_code error) {
    if (!error) action();
  });
}

void World::RunFor(Us time) {
  RunUntil([] { return false; }, time);
}

bool World::RunUntil(const std::function<bool()>& condition, Us time) {
  const Us end = Now() + time;
  while (!condition()) {
    const Us left = end - Now();
    if (left <= 0) return false;
    io_.restart();
    io_.run_one_for(std::chrono::microseconds(std::min<Us>(left, 5 * kMs)));
  }
  return true;
}

int World::Call(std::uint16_t port, const std::string& method, const std::string& path) {
  tcp::socket socket(io_);
  const std::string request = method + " " + path + " HTTP/1.1\r\nHost: router\r\nContent-Length: 0\r\n\r\n";
  std::array<char, 1024> buffer{};
  std::string answer;
  bool ended = false;
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer), [&](std::error_code error, std::size_t size) {
      answer.append(buffer.data(), size);
      ended = error || answer.size() >= 12;
      if (!ended) read();
    });
  };
  socket.async_connect(Loopback(port), [&](std::error_code error) {
    if (error) {
      ended = true;
      return;
    }
    asio::async_write(socket, asio::buffer(request), [&](std::error_code failed, std::size_t) {
      if (failed) {
        ended = true;
      } else {
        read();
      }
    });
  });
  RunUntil([&] { return ended; }, 2 * kSecond);
  std::error_code ignored;
  socket.close(ignored);
  RunUntil([&] { return ended; }, 50 * kMs);
  const int status = answer.size() >= 12 ? std::atoi(answer.substr(9, 3).c_str()) : 0;
  Note("operator: " + method + " " + path + " at port " + std::to_string(port) + ": " +
       std::to_string(status));
  return status;
}

// ---- Routers

Platform::Platform(World& world) : acceptor_(world.io(), Loopback(0)), folder_(world.folder() / "shared") {
  port_ = acceptor_.local_endpoint().port();
  std::filesystem::create_directories(folder_);
}

Router::Router(World& world, const std::string& name, Json config)
    : world_(world),
      name_(name),
      process_(name),
      config_(std::move(config)),
      reserved_port_(world.io()),
      reserved_operator_port_(world.io()) {
  port_ = TakePort(reserved_port_);
  operator_port_ = TakePort(reserved_operator_port_);
}

Router::Router(World& world, const std::string& name, const std::string& process, Platform& platform,
               Json config)
    : world_(world),
      name_(name),
      process_(process),
      platform_(&platform),
      config_(std::move(config)),
      reserved_port_(world.io()),
      reserved_operator_port_(world.io()),
      port_(platform.port()) {
  operator_port_ = TakePort(reserved_operator_port_);
}

Router::~Router() {
  if (pid_ > 0) Kill();
}

void Router::Configure(Json config) {
  config_ = std::move(config);
  Json whole = config_;
  whole["name"] = name_;
  whole["listen"] = "127.0.0.1:" + std::to_string(port_);
  whole["operator"] = "127.0.0.1:" + std::to_string(operator_port_);
  if (!whole.contains("seed")) {
    char seed[32];
    std::snprintf(seed, sizeof seed, "%08x%08x", static_cast<unsigned>(world_.random()()),
                  static_cast<unsigned>(world_.random()()));
    whole["seed"] = seed;
  }
  const std::filesystem::path path = world_.folder() / (process_ + ".json");
  std::ofstream(path.string() + ".new") << whole.dump(1);
  std::filesystem::rename(path.string() + ".new", path);
}

void Router::Start() {
  Configure(config_);
  const std::filesystem::path path = world_.folder() / (process_ + ".json");
  const std::filesystem::path temporary =
      platform_ ? platform_->folder() : world_.folder() / (process_ + ".tmp");
  std::filesystem::create_directories(temporary);
  const std::string log = (world_.folder() / (process_ + ".log")).string();
  const std::string deploy = ReadFile(world_.root() + "/deploy/balancer.toml");
  const std::size_t begin = deploy.find("\nrun = \"");
  if (begin == std::string::npos) throw std::runtime_error("the deploy file has no run command");
  const std::string run = deploy.substr(begin + 8, deploy.find('"', begin + 8) - begin - 8);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot start a router");
  if (pid_ > 0) {
    world_.Note("router " + process_ + " starts: " + run);
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(out, 1);
  dup2(out, 2);
  if (platform_) dup2(platform_->descriptor(), 4);
  closefrom(platform_ ? 5 : 3);
  if (chdir(world_.root().c_str()) != 0) _exit(127);
  setenv("LB_CONFIG", path.c_str(), 1);
  setenv("TMPDIR", temporary.c_str(), 1);
  unsetenv("LB_NAME");
  unsetenv("LB_LISTEN");
  unsetenv("LB_DISCOVERY");
  unsetenv("LB_OPERATOR");
  unsetenv("LB_ACCEPT_FD");
  if (platform_) {
    close(3);
    setenv("LB_ACCEPT_FD", "4", 1);
  }
  execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
  _exit(127);
}

void Router::Signal(int signal) {
  if (pid_ > 0) kill(pid_, signal);
}

bool Router::Running() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  world_.Note("router " + process_ + " has ended" +
              (WIFSIGNALED(status) ? " by signal " + std::to_string(WTERMSIG(status))
                                   : " with status " + std::to_string(WEXITSTATUS(status))));
  pid_ = -1;
  return false;
}

void Router::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

std::string Router::Log() const { return ReadFile(world_.folder() / (process_ + ".log")); }

// ---- Readings servers

struct Server::Session {
  explicit Session(tcp::socket accepted) : socket(std::move(accepted)) {}
  tcp::socket socket;
  int number = 0;
  bool started = false;
  Us begun = 0;
  int queries = 0;
  std::string in;
  std::array<char, 65536> buffer{};
};

Server::Server(World& world, std::string id, int group, std::string zone, Behaviour b)
    : behaviour(b),
      world_(world),
      id_(std::move(id)),
      zone_(std::move(zone)),
      group_(group),
      acceptor_(world.io()) {
  Listen();
}

Server::~Server() { Die(); }

void Server::Listen() {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(Loopback(port_));
  acceptor_.listen();
  port_ = acceptor_.local_endpoint().port();
  Accept();
}

void Server::Die() {
  std::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& session : std::exchange(sessions_, {})) {
    session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    session->socket.close(ignored);
  }
}

Json Server::Entry(const std::string& phase, std::int64_t up_since_ms) const {
  return {{"id", id_},         {"host_port", "127.0.0.1:" + std::to_string(port_)},
          {"locality", zone_}, {"flavor", "std-5core"},
          {"cell", group_},    {"phase", phase},
          {"size", 1.0},       {"up_since_ms", up_since_ms}};
}

void Server::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error) return;
    const auto session = std::make_shared<Session>(std::move(socket));
    session->number = ++connections_;
    std::error_code ignored;
    session->socket.set_option(tcp::no_delay(true), ignored);
    sessions_.insert(session);
    Read(session);
    Accept();
  });
}

void Server::Read(const std::shared_ptr<Session>& session) {
  session->socket.async_read_some(asio::buffer(session->buffer),
                                  [this, session](std::error_code error, std::size_t size) {
                                    if (!sessions_.contains(session)) return;
                                    if (error) {
                                      sessions_.erase(session);
                                      return;
                                    }
                                    if (session->in.empty()) session->begun = Now();
                                    session->in.append(session->buffer.data(), size);
                                    Take(session);
                                    if (sessions_.contains(session)) Read(session);
                                  });
}

void Server::Take(const std::shared_ptr<Session>& session) {
  while (sessions_.contains(session)) {
    const std::size_t header = session->started ? 5 : 4;
    if (session->in.size() < header) return;
    const std::size_t whole = Read32(session->in, header - 4) + header - 4;
    if (session->in.size() < whole) return;
    const char type = session->started ? session->in[0] : '\0';
    const std::string body = session->in.substr(header, whole - header);
    session->in.erase(0, whole);
    if (type == '\0') {
      session->started = true;
      std::bernoulli_distribution is_late(behaviour.late_share);
      const Us delay = behaviour.handshake + (is_late(world_.random()) ? behaviour.late : 0);
      world_.At(delay, [this, session] { Send(session, Message('R', Big32(0)) + Ready()); });
    } else if (type == 'Q') {
      Query(session, body.substr(0, body.size() - 1));
    } else if (type == 'X') {
      sessions_.erase(session);
    }
  }
}

void Server::Query(const std::shared_ptr<Session>& session, const std::string& text) {
  const Us now = Now();
  ++session->queries;
  if (Field(text, "id").empty()) {
    ++probes_;
    if (!behaviour.hangs) world_.At(kMs, [this, session] { AnswerProbe(session); });
    return;
  }
  Arrival arrival;
  arrival.first_byte = session->begun;
  arrival.last_byte = now;
  arrival.id = Field(text, "id");
  arrival.request_class = Field(text, "c");
  arrival.key = Field(text, "k");
  arrival.session = Quoted(text);
  arrival.time_left_ms = std::atoi(Field(text, "d").c_str());
  arrival.write = text.rfind("INSERT", 0) == 0;
  arrival.connection = session->number;
  arrivals_.push_back(arrival);
  if (on_arrival) on_arrival(arrival);
  if (behaviour.hangs) return;
  const std::size_t index = arrivals_.size() - 1;
  const bool at_once = behaviour.draining || (arrival.write && !behaviour.primary);
  world_.At(at_once ? kMs : behaviour.service, [this, session, index] { Answer(session, index); });
}

std::string Server::Notes(Us now, bool commit) const {
  // Positions are rounded down, commits up.
  const Us position = commit ? now / kMs + 1 : PositionAt(now) / kMs;
  return Status("replication_role", behaviour.primary ? "primary" : "standby") +
         Status("log_position", std::to_string(position));
}

void Server::Answer(const std::shared_ptr<Session>& session, std::size_t index) {
  if (!sessions_.contains(session) || behaviour.hangs) return;
  const Us now = Now();
  Arrival& arrival = arrivals_[index];
  arrival.ended = now;
  std::string out;
  if (behaviour.draining) {
    arrival.end = "refused";
    out = Error("53300", "draining");
  } else if (arrival.write && !behaviour.primary) {
    arrival.end = "miss";
    out = Error("25006", "no primary");
  } else if (std::bernoulli_distribution(behaviour.fails)(world_.random())) {
    arrival.end = "error";
    out = Error("XX000", "it failed");
  } else {
    arrival.end = "ran";
    arrival.position = PositionAt(now);
    out = Row(id_ + " " + arrival.id);
  }
  Send(session, out + Notes(now, arrival.write && arrival.end == "ran") + Ready());
  CloseIfIdle(session);
}

void Server::CloseIfIdle(const std::shared_ptr<Session>& session) {
  if (behaviour.idle_close == 0) return;
  world_.At(behaviour.idle_close, [this, session, queries = session->queries] {
    if (session->queries != queries || !sessions_.contains(session)) return;
    std::error_code ignored;
    session->socket.close(ignored);
    sessions_.erase(session);
  });
}

void Server::AnswerProbe(const std::shared_ptr<Session>& session) {
  if (!sessions_.contains(session) || behaviour.hangs) return;
  const Us now = Now();
  const std::string report =
      "x0=" + std::to_string(PositionAt(now) / kMs) + ",x1=" + (behaviour.primary ? "1" : "0") + ",util=0.2";
  // The page has the report as a row; the router reads it from the parameter, so it comes in both forms.
  Send(session, Status("pressure", report) + Row(report) + Notes(now, false) + Ready());
  CloseIfIdle(session);
}

void Server::Send(const std::shared_ptr<Session>& session, const std::string& bytes) {
  if (!sessions_.contains(session)) return;
  const auto kept = std::make_shared<std::string>(bytes);
  asio::async_write(session->socket, asio::buffer(*kept), [kept](std::error_code, std::size_t) {});
}

// ---- Discovery

struct Discovery::Watch {
  explicit Watch(tcp::socket accepted) : socket(std::move(accepted)) {}
  tcp::socket socket;
  bool open = false;
  std::string in;
  std::array<char, 4096> buffer{};
};

Discovery::Discovery(World& world)
    : world_(world), acceptor_(world.io(), Loopback(0)), heartbeat_(world.io()) {
  port_ = acceptor_.local_endpoint().port();
  Accept();
  Beat();
}

Discovery::~Discovery() {
  std::error_code ignored;
  acceptor_.close(ignored);
  heartbeat_.cancel();
  for (const auto& watch : watches_) watch->socket.close(ignored);
}

Json Discovery::Listing() const {
  Json members = Json::array();
  for (const auto& [id, entry] : members_) {
    if (entry.at("phase") != "terminated") members.push_back(entry);
  }
  return {{"revision", revision_}, {"complete", true}, {"members", members}};
}

void Discovery::Tell(const std::vector<Json>& entries) {
  ++revision_;
  for (const Json& entry : entries) members_[entry.at("id")] = entry;
  const std::string line = Json{{"revision", revision_}, {"complete", false}, {"members", entries}}.dump();
  for (const auto& watch : watches_) {
    if (watch->open) Line(watch, line);
  }
}

void Discovery::SetDown(bool down) {
  down_ = down;
  if (!down) return;
  std::error_code ignored;
  for (const auto& watch : std::exchange(watches_, {})) watch->socket.close(ignored);
}

void Discovery::Beat() {
  heartbeat_.expires_after(std::chrono::seconds(2));
  heartbeat_.async_wait([this](std::error_code error) {
    if (error) return;
    for (const auto& watch : watches_) {
      if (watch->open) Line(watch, "");
    }
    Beat();
  });
}

void Discovery::Line(const std::shared_ptr<Watch>& watch, const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  const auto bytes = std::make_shared<std::string>(size + line + "\n\r\n");
  asio::async_write(watch->socket, asio::buffer(*bytes), [bytes](std::error_code, std::size_t) {});
}

void Discovery::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error) return;
    const auto watch = std::make_shared<Watch>(std::move(socket));
    watches_.insert(watch);
    Read(watch);
    Accept();
  });
}

void Discovery::Read(const std::shared_ptr<Watch>& watch) {
  watch->socket.async_read_some(asio::buffer(watch->buffer),
                                [this, watch](std::error_code error, std::size_t size) {
                                  if (!watches_.contains(watch)) return;
                                  if (error) {
                                    watches_.erase(watch);
                                    return;
                                  }
                                  watch->in.append(watch->buffer.data(), size);
                                  if (!watch->open && watch->in.find("\r\n\r\n") != std::string::npos)
                                    Open(watch);
                                  if (watches_.contains(watch)) Read(watch);
                                });
}

void Discovery::Open(const std::shared_ptr<Watch>& watch) {
  ++calls_;
  const bool follows = watch->in.find("follow=1") != std::string::npos;
  const std::string list = Listing().dump();
  auto bytes = std::make_shared<std::string>();
  if (down_) {
    *bytes = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  } else if (!follows) {
    *bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  } else {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", list.size() + 1);
    *bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + list) + "\n\r\n";
    watch->open = true;
  }
  if (on_call) on_call(std::to_string(watch->socket.remote_endpoint().port()));
  asio::async_write(watch->socket, asio::buffer(*bytes), [this, bytes, watch](std::error_code, std::size_t) {
    if (watch->open) return;
    std::error_code ignored;
    watch->socket.close(ignored);
    watches_.erase(watch);
  });
}

// ---- Clients

struct Clients::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  bool fresh = true;   // no answer has come on it yet
  bool again = false;  // the request was sent before, on a connection that was closed meanwhile
  bool busy = true;
  bool empty_query = false;
  std::size_t index = 0;
  std::string text, in, code, value;
  bool login = true;
  Done done;
  std::function<void(bool)> checked;
  std::array<char, 65536> buffer{};
};

Clients::~Clients() {
  std::error_code ignored;
  for (const auto& connection : all_) connection->socket.close(ignored);
}

void Clients::Ask(const std::string& request_class, bool write, int deadline_ms, const std::string& session,
                  int cluster, const std::string& extra, Done done) {
  Request request;
  request.id = router_ + "-" + std::to_string(next_++);
  request.request_class = request_class;
  request.session = session;
  request.write = write;
  request.deadline_ms = deadline_ms;
  request.router = router_;
  const std::string comment = " /* id=" + request.id + ",c=" + request_class +
                              ",t=a,d=" + std::to_string(deadline_ms) + extra +
                              ",cluster=" + std::to_string(cluster) + " */";
  const std::string text =
      write ? "INSERT INTO rows (handle, blob) VALUES ('" + session + "', '\\x9f03') RETURNING blob" + comment
            : "SELECT blob FROM rows WHERE handle = '" + session + "'" + comment;
  requests_.push_back(request);
  ++open_;
  const std::size_t index = requests_.size() - 1;
  if (resting_.empty()) return Connect(index, text, std::move(done), false);
  const std::shared_ptr<Connection> connection = resting_.back();
  resting_.pop_back();
  connection->busy = true;
  connection->index = index;
  connection->text = text;
  connection->done = std::move(done);
  connection->again = false;
  Send(connection);
}

void Clients::Repeat(Us interval, std::function<void()> ask) {
  if (stopped_) return;
  ask();
  world_.At(interval, [this, interval, ask = std::move(ask)] { Repeat(interval, ask); });
}

void Clients::Check(std::function<void(bool)> done) {
  const auto connection = std::make_shared<Connection>(world_.io());
  connection->empty_query = true;
  connection->checked = std::move(done);
  all_.insert(connection);
  connection->socket.async_connect(Loopback(port_), [this, connection](std::error_code error) {
    if (error) {
      all_.erase(connection);
      return connection->checked(false);
    }
    const auto bytes = std::make_shared<std::string>(Startup() + Message('Q', Zero("")));
    asio::async_write(connection->socket, asio::buffer(*bytes), [bytes](std::error_code, std::size_t) {});
    Read(connection);
  });
}

void Clients::Connect(std::size_t index, std::string text, Done done, bool again) {
  const auto connection = std::make_shared<Connection>(world_.io());
  connection->index = index;
  connection->text = std::move(text);
  connection->done = std::move(done);
  connection->again = again;
  all_.insert(connection);
  connection->socket.async_connect(Loopback(port_), [this, connection](std::error_code error) {
    if (error) return End(connection, "closed", true);
    std::error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    Send(connection);
    Read(connection);
  });
}

void Clients::Send(const std::shared_ptr<Connection>& connection) {
  const bool first = connection->fresh;
  const auto bytes =
      std::make_shared<std::string>((first ? Startup() : "") + Message('Q', Zero(connection->text)));
  requests_[connection->index].sent = Now();
  connection->code.clear();
  connection->value.clear();
  asio::async_write(connection->socket, asio::buffer(*bytes), [bytes](std::error_code, std::size_t) {});
}

void Clients::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->buffer), [this, connection](std::error_code error, std::size_t size) {
        if (!all_.contains(connection)) return;
        if (error) return End(connection, connection->code.empty() ? "closed" : connection->code, true);
        connection->in.append(connection->buffer.data(), size);
        while (connection->in.size() >= 5) {
          const std::size_t whole = Read32(connection->in, 1) + 1;
          if (connection->in.size() < whole) break;
          const char type = connection->in[0];
          const std::string body = connection->in.substr(5, whole - 5);
          connection->in.erase(0, whole);
          if (type == 'I' && connection->empty_query) connection->code = "empty";
          if (type == 'D') connection->value = body.substr(6);
          if (type == 'C') connection->code = "served";
          if (type == 'E') connection->code = ErrorCode(body);
          if (type != 'Z') continue;
          if (connection->login) {
            connection->login = false;
            continue;
          }
          End(connection, connection->code, false);
        }
        if (all_.contains(connection)) Read(connection);
      });
}

void Clients::End(const std::shared_ptr<Connection>& connection, const std::string& code, bool closed) {
  if (connection->empty_query) {
    all_.erase(connection);
    std::error_code ignored;
    connection->socket.close(ignored);
    return connection->checked(code == "empty");
  }
  if (closed) {
    all_.erase(connection);
    std::erase(resting_, connection);
    std::error_code ignored;
    connection->socket.close(ignored);
  }
  if (!connection->busy) return;
  connection->busy = false;
  // The close crossed a request on a resting connection: it is sent one more time.
  if (closed && code == "closed" && !connection->fresh && !connection->again) {
    return Connect(connection->index, connection->text, std::move(connection->done), true);
  }
  connection->fresh = false;
  Request& request = requests_[connection->index];
  request.answered = Now();
  request.code = code;
  request.value = connection->value;
  --open_;
  if (!closed) resting_.push_back(connection);
  if (Done done = std::exchange(connection->done, {})) done(request);
}

bool AwaitRouters(World& world, const std::vector<std::unique_ptr<Clients>>& clients) {
  std::size_t ready = 0;
  std::function<void(Clients*)> check = [&](Clients* each) {
    each->Check([&, each](bool answered) {
      if (answered) {
        ++ready;
      } else {
        world.At(50 * kMs, [&check, each] { check(each); });
      }
    });
  };
  for (const auto& each : clients) check(each.get());
  const bool all = world.RunUntil([&] { return ready == clients.size(); }, 30 * kSecond);
  world.Note(std::to_string(ready) + " of " + std::to_string(clients.size()) + " routers are ready");
  return all;
}

}  // namespace review2
