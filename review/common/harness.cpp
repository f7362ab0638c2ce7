#include "harness.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

using Steady = std::chrono::steady_clock;

// A case that runs for longer is ended; its script exits with 2.
constexpr unsigned kMaxSeconds = 115;

std::int64_t Micros(std::chrono::nanoseconds span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

const std::int64_t kOffset =
    Micros(std::chrono::system_clock::now().time_since_epoch()) - Micros(Steady::now().time_since_epoch());

std::string Number(std::uint32_t value, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) out += static_cast<char>((value >> shift) & 0xff);
  return out;
}

std::uint32_t ReadNumber(const std::string& text, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = at; i < at + 4; ++i) value = value << 8 | static_cast<unsigned char>(text[i]);
  return value;
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int ListenOn(std::uint16_t port, std::uint16_t& chosen) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0)
    throw std::runtime_error("cannot listen on a port");
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  chosen = ntohs(address.sin_port);
  return fd;
}

void NoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string DeployCommand(const std::string& root, const std::string& key) {
  std::ifstream file(root + "/deploy/balancer.toml");
  std::string line;
  const std::string start = key + " = \"";
  while (std::getline(file, line)) {
    if (line.rfind(start, 0) != 0) continue;
    return line.substr(start.size(), line.find('"', start.size()) - start.size());
  }
  throw std::runtime_error("the deploy file names no command " + key);
}

std::size_t StatusField(int pid, const std::string& name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(name + ":", 0) == 0)
      return std::strtoull(line.c_str() + name.size() + 1, nullptr, 10) * 1024;
  }
  return 0;
}

}  // namespace

std::int64_t Now() { return Micros(Steady::now().time_since_epoch()) + kOffset; }
void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(Now()) {
  if (!file_) throw std::runtime_error("cannot write " + path);
}
Record::~Record() { std::fclose(file_); }
void Record::Line(const std::string& text) {
  const double ms = static_cast<double>(Now() - start_) / 1000;
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%10.1f %s\n", ms, text.c_str());
  std::fflush(file_);
}
void Record::Say(const std::string& text) {
  Line(text);
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
}

std::string Encode(char type, std::string_view body) {
  std::string out(1, type);
  out += Number(static_cast<std::uint32_t>(body.size() + 4), 4);
  out += body;
  return out;
}
std::string StartupMessage() {
  std::string body = Number(196608, 4);
  for (const char* part : {"user", "api", "database", "ledger"}) body += part + std::string(1, '\0');
  body += '\0';
  return Number(static_cast<std::uint32_t>(body.size() + 4), 4) + body;
}
std::string QueryMessage(const std::string& text) { return Encode('Q', text + '\0'); }
std::string Parameter(const std::string& name, const std::string& value) {
  return Encode('S', name + '\0' + value + '\0');
}
std::string RowMessages(const std::string& value) {
  std::string shape = Number(1, 2) + "blob" + '\0' + Number(0, 4) + Number(0, 2) + Number(17, 4) +
                      Number(0xffff, 2) + Number(0xffffffff, 4) + Number(1, 2);
  const std::string row = Number(1, 2) + Number(static_cast<std::uint32_t>(value.size()), 4) + value;
  return Encode('T', shape) + Encode('D', row) + Encode('C', std::string("SELECT 1") + '\0');
}
std::string ErrorMessage(const std::string& code, const std::string& text) {
  std::string body;
  for (const std::string& field : {std::string("SERROR"), "C" + code, "M" + text}) body += field + '\0';
  return Encode('E', body + '\0');
}
std::string ReadyMessage() { return Encode('Z', "I"); }
std::string CodeOf(const Message& error) {
  std::size_t at = 0;
  while (at < error.body.size() && error.body[at] != '\0') {
    const std::size_t end = error.body.find('\0', at);
    if (error.body[at] == 'C') return error.body.substr(at + 1, end - at - 1);
    at = end + 1;
  }
  return "";
}
std::string Field(const std::string& statement, const std::string& name) {
  const std::size_t comment = statement.rfind("/*");
  if (comment == std::string::npos) return "";
  for (const char before : {' ', ',', '*'}) {
    const std::size_t at = statement.find(before + name + "=", comment);
    if (at == std::string::npos) continue;
    const std::size_t from = at + name.size() + 2;
    return statement.substr(from, statement.find_first_of(", *", from) - from);
  }
  return "";
}
std::string HandleOf(const std::string& statement) {
  const std::size_t from = statement.find('\'');
  if (from == std::string::npos) return "";
  return statement.substr(from + 1, statement.find('\'', from + 1) - from - 1);
}

Channel::~Channel() { ::close(fd_); }
bool Channel::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t size = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}
bool Channel::Fill(std::size_t size, int timeout_ms) {
  const std::int64_t end = timeout_ms < 0 ? 0 : NowMs() + timeout_ms;
  while (buffer_.size() < size) {
    pollfd wait{fd_, POLLIN, 0};
    const auto left = timeout_ms < 0 ? -1 : static_cast<int>(std::max<std::int64_t>(0, end - NowMs()));
    const int ready = ::poll(&wait, 1, left);
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    char bytes[65536];
    const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(got));
  }
  return true;
}
std::optional<Message> Channel::Read(int timeout_ms) {
  if (!Fill(5, timeout_ms)) return std::nullopt;
  const std::size_t size = ReadNumber(buffer_, 1) + 1;
  if (!Fill(size, timeout_ms)) return std::nullopt;
  Message message{buffer_[0], buffer_.substr(5, size - 5)};
  buffer_.erase(0, size);
  return message;
}
bool Channel::ReadStartup() {
  if (!Fill(4, 5000)) return false;
  const std::size_t size = ReadNumber(buffer_, 0);
  if (!Fill(size, 5000)) return false;
  buffer_.erase(0, size);
  return true;
}
std::optional<std::string> Channel::ReadLine(int timeout_ms) {
  while (buffer_.find('\n') == std::string::npos) {
    if (!Fill(buffer_.size() + 1, timeout_ms)) return std::nullopt;
  }
  std::string line = buffer_.substr(0, buffer_.find('\n'));
  buffer_.erase(0, line.size() + 1);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return line;
}
void Channel::Shut() const { ::shutdown(fd_, SHUT_RDWR); }
void Channel::Reset() {
  const linger now{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ended_ = true;
}

ChannelPtr Connect(std::uint16_t port, SocketOptions options) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  if (options.receive_buffer > 0)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof options.receive_buffer);
  if (options.segment > 0)
    ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
  sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return nullptr;
  }
  NoDelay(fd);
  return std::make_shared<Channel>(fd);
}
std::uint16_t FreePort() {
  std::uint16_t port = 0;
  ::close(ListenOn(0, port));
  return port;
}

int ListenForRouter(std::uint16_t& port) {
  const int fd = ListenOn(0, port);
  ::fcntl(fd, F_SETFD, 0);
  return fd;
}

Acceptor::Acceptor(Serve serve, std::uint16_t port)
    : serve_(std::move(serve)), listener_(ListenOn(port, port_)) {
  thread_ = std::thread([this] { Run(); });
}
Acceptor::~Acceptor() {
  Stop();
  while (running_ > 0) SleepMs(1);
}
void Acceptor::Run() {
  for (int number = 0; !stopped_; ++number) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (stopped_) return;
      continue;
    }
    NoDelay(fd);
    const auto channel = std::make_shared<Channel>(fd);
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(channels_, [](const auto& known) { return known.expired(); });
      channels_.push_back(channel);
    }
    ++running_;
    std::thread([this, channel = ChannelPtr(channel), number]() mutable {
      serve_(channel, number);
      channel.reset();
      --running_;
    }).detach();
  }
}
void Acceptor::Stop() {
  if (stopped_.exchange(true)) return;
  ::shutdown(listener_, SHUT_RDWR);
  if (thread_.joinable()) thread_.join();
  ::close(listener_);
  const std::lock_guard lock(mutex_);
  for (const auto& known : channels_) {
    if (const ChannelPtr channel = known.lock()) {
      channel->Reset();
      channel->Shut();
    }
  }
}

Registry::Registry() {
  acceptor_ = std::make_unique<Acceptor>([this](const ChannelPtr& channel, int) { Serve(channel); });
}
Registry::~Registry() {
  stopped_ = true;
  acceptor_.reset();
}
void Registry::SetList(const std::vector<std::string>& members) {
  const std::lock_guard lock(mutex_);
  members_ = members;
}
void Registry::Change(const std::string& member) {
  const std::lock_guard lock(mutex_);
  const std::string id = member.substr(0, member.find(','));
  for (std::string& known : members_) {
    if (known.rfind(id + ",", 0) == 0) known = member;
  }
  changes_.push_back(member);
}
void Registry::Serve(const ChannelPtr& channel) {
  while (const auto line = channel->ReadLine(5000)) {
    if (line->empty()) break;
  }
  const auto chunk = [&](const std::string& line) {
    std::ostringstream out;
    out << std::hex << line.size() + 1 << "\r\n" << line << "\n\r\n";
    return channel->Write(out.str());
  };
  std::size_t told = 0;
  {
    const std::lock_guard lock(mutex_);
    told = changes_.size();
    std::string list = "{\"revision\":" + std::to_string(told + 1) + ",\"complete\":true,\"members\":[";
    for (const std::string& member : members_) list += (&member == &members_.front() ? "" : ",") + member;
    channel->Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    chunk(list + "]}");
  }
  std::int64_t last = NowMs();
  while (!stopped_) {
    std::string line;
    bool due = NowMs() - last >= 2000;
    {
      const std::lock_guard lock(mutex_);
      if (told < changes_.size()) {
        line = "{\"revision\":" + std::to_string(told + 2) + ",\"complete\":false,\"members\":[" +
               changes_[told] + "]}";
        ++told;
        due = true;
      }
    }
    if (due) {
      if (!chunk(line)) return;
      last = NowMs();
    }
    if (channel->ReadLine(5) || channel->ended()) return;
  }
}

std::string Member(const std::string& id, std::uint16_t port, const std::string& zone,
                   const std::string& phase, int cell) {
  return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + std::to_string(port) + "\",\"locality\":\"" +
         zone + "\",\"flavor\":\"std-5core\",\"cell\":" + std::to_string(cell) + ",\"phase\":\"" + phase +
         "\",\"size\":1.0,\"up_since_ms\":0}";
}

ReadingsServer::ReadingsServer(Behaviour behaviour) : behaviour_(std::move(behaviour)) {
  acceptor_ = std::make_unique<Acceptor>([this](const ChannelPtr& channel, int number) {
    if (!channel->ReadStartup()) return;
    SleepMs(behaviour_.startup_delay(number));
    if (!channel->Write(Encode('R', std::string(4, '\0')) + ReadyMessage())) return;
    while (true) {
      const std::optional<Message> message =
          channel->Read(behaviour_.idle_close_ms > 0 ? behaviour_.idle_close_ms : -1);
      if (!message || message->type != 'Q') return;
      Query query{message->body.substr(0, message->body.size() - 1), Now(), false, number};
      query.probe = query.text.rfind("SHOW", 0) == 0 || query.text == "SELECT 1";
      const std::string answer = behaviour_.answer(query);
      if (answer.empty()) return channel->Reset();
      if (!channel->Write(answer)) return;
    }
  });
}

std::string HistoryRead() {
  return R"({"name":"history-read","semantics":"free","aim":400000,"deadline":1000000,"worth":1.0,)"
         R"("late_worth":0.2,"group":"all","window":5000000,"stream":false})";
}
std::string ReadingWrite() {
  return R"({"name":"reading-write","semantics":"guarded","aim":500000,"deadline":5000000,"worth":6.0,)"
         R"("late_worth":0.3,"group":"cell","window":3000000,"stream":false})";
}

std::string ConfigText(const ConfigOptions& options) {
  std::string members;
  for (const std::string& member : options.members) members += (members.empty() ? "" : ",") + member;
  const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::string text = "{\"name\":\"n0\",\"listen\":" + address(options.port);
  if (options.admin != 0) text += ",\"operator\":" + address(options.admin);
  text += ",\"discovery\":" + address(options.registry);
  text += R"(,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" +
          std::to_string(options.memory_mb) + ",\"sockets\":" + std::to_string(options.sockets) + "}";
  text += R"(,"known":{"revision":1,"complete":true,"members":[)" + members + "]}";
  text += R"(,"settings":{"discovery":"push","quantum":5000,"n_instances":2,"me":0,"zone":0,"tier":0,
"failure_domains":["derby","nottingham"],"kinds":["std-5core"],"worth_by":"request","service_type":"replicas",
"services":[)" +
          options.services + "],\n";
  text += "\"domain\":{\"freshness\":[" + options.freshness + "],\"lag_allowed\":[" + options.bounds +
          "],\"guards\":\"" + options.guards +
          "\",\"catch_up_wait\":20000,\"origin_time\":" + std::to_string(Now() - 60'000'000) + ",\n";
  text += R"("token_mode":"router","role_listed":"off","stamps":true,"waits_for_copy":false},
"policy_limits":{"cancel":true,"probes":true,"second_copies":true,"peers":false,"retry_after":true,
"max_retry_after":500000,"most_tries":8,"connect_timeout":250000,"idle_close":15000000,"multiplex":1,
"max_open":30000},
"stats":{"via":"on_probe","fields":["x0","x1","util"]},
"rules":{"answer_slack":20000,"ask_within":10000000,"cold_from":0.15,"warm_after":18000000,"tip_multiple":3.0,
"fall":3000000,"drain_grace":2000000},
"realms":[{"name":"county-councils","fraction":1.0,"quota_per_s":616.0}],"over_share_worth":0.1,
"prices":{"probe":0.038,"cross_zone":0.027,"waste":0.05,"late_fail":0.052}}})";
  return text;
}

std::string Told(bool primary, std::int64_t position_ms) {
  return Parameter("replication_role", primary ? "primary" : "standby") +
         Parameter("log_position", std::to_string(position_ms));
}
std::string ProbeAnswer(bool primary, std::int64_t position_ms) {
  const std::string report =
      "x0=" + std::to_string(position_ms) + ",x1=" + (primary ? "1" : "0") + ",util=0.3";
  return RowMessages(report) + Told(primary, position_ms) + Parameter("pressure", report) + ReadyMessage();
}

Router::Router(const std::string& root, const std::string& folder, const std::string& name,
               const std::string& config, std::vector<std::pair<std::string, std::string>> environment)
    : log_path_(folder + "/" + name + ".log") {
  const std::string path = folder + "/" + name + ".json";
  std::ofstream(path) << config;
  const std::string command = DeployCommand(root, "run");
  const std::string temporary = folder + "/" + name + ".tmp";
  std::filesystem::create_directory(temporary);
  environment.insert(environment.begin(), {{"LB_CONFIG", path}, {"TMPDIR", temporary}});
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot start a process");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no router is left behind, however the case ends
    const int log = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    if (::chdir(root.c_str()) != 0) ::_exit(127);
    for (const auto& [variable, value] : environment) ::setenv(variable.c_str(), value.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
  }
}
Router::~Router() {
  if (Ended()) return;
  Signal(SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}
void Router::Signal(int signal) const {
  if (!ended_) ::kill(pid_, signal);
}
bool Router::Ended() {
  if (!ended_ && ::waitpid(pid_, nullptr, WNOHANG) == pid_) ended_ = true;
  return ended_;
}
std::size_t Router::PeakMemory() const { return StatusField(pid_, "VmHWM"); }
std::size_t Router::Memory() const { return StatusField(pid_, "VmRSS"); }

bool AwaitReady(std::uint16_t port, int timeout_ms) {
  for (const std::int64_t end = NowMs() + timeout_ms; NowMs() < end; SleepMs(20)) {
    const ChannelPtr session = OpenSession(port, 500);
    if (!session || !session->Write(QueryMessage(""))) continue;
    const std::optional<Message> message = session->Read(500);
    if (message && message->type == 'I') return true;
  }
  return false;
}

ChannelPtr OpenSession(std::uint16_t port, int timeout_ms, SocketOptions options) {
  ChannelPtr channel = Connect(port, options);
  if (!channel || !channel->Write(StartupMessage())) return nullptr;
  while (const std::optional<Message> message = channel->Read(timeout_ms)) {
    if (message->type == 'Z') return channel;
    if (message->type == 'E') return nullptr;
  }
  return nullptr;
}

std::string CallAdmin(std::uint16_t port, const std::string& method, const std::string& path) {
  const ChannelPtr channel = Connect(port);
  if (!channel || !channel->Write(method + " " + path + " HTTP/1.1\r\nHost: admin\r\n\r\n"))
    return "no connection";
  return channel->ReadLine(2000).value_or("no answer");
}

const char* NameOf(Answer::Kind kind) {
  constexpr const char* kNames[] = {"served", "refused", "failed", "closed without an answer", "no answer"};
  return kNames[static_cast<int>(kind)];
}

Answer ReadAnswer(Channel& channel, int timeout_ms) {
  Answer answer;
  bool complete = false;
  const std::int64_t end = NowMs() + timeout_ms;
  while (true) {
    const auto left = static_cast<int>(std::max<std::int64_t>(0, end - NowMs()));
    const std::optional<Message> message = channel.Read(left);
    if (!message) {
      if (!answer.code.empty() || complete) break;
      answer.kind = channel.ended() ? Answer::Kind::kClosed : Answer::Kind::kNone;
      return answer;
    }
    if (message->type == 'D')
      answer.value = message->body.substr(std::min<std::size_t>(6, message->body.size()));
    if (message->type == 'C') complete = true;
    if (message->type == 'E') answer.code = CodeOf(*message);
    if (message->type == 'Z') break;
  }
  const bool refused = answer.code == "53300" || answer.code == "57P03";
  answer.kind = refused                ? Answer::Kind::kRefused
                : !answer.code.empty() ? Answer::Kind::kFailed
                                       : Answer::Kind::kServed;
  return answer;
}

Folder::Folder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot create a temporary folder");
  path_ = pattern;
}
Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

int RunCase(const char* record_path, const std::function<int(Record&)>& run) {
  ::signal(SIGPIPE, SIG_IGN);
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the program does not outlive its script
  ::alarm(kMaxSeconds);
  Record record(record_path);
  try {
    return run(record);
  } catch (const std::exception& error) {
    record.Say(std::string("the case could not run: ") + error.what());
    return kNotRun;
  }
}

}  // namespace review
