#include "src/net/node.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <exception>
#include <variant>

#include "src/net/address.hpp"
#include "src/net/log.hpp"

namespace tulipyoke::net {
namespace {

// Descriptors that are neither a client's nor a server's: standard streams, the loop's own, the listening
// socket, discovery, and clients that are being told that there is no room.
constexpr int kOwnDescriptors = 48;
constexpr double kClientShare = 0.55;
// Clients hold a third of the descriptors for requests at most; idle ones are closed well before.
constexpr double kKeptShare = 0.25;
// Share of the memory that clients' unread bytes may take, and as much again their statements under way.
constexpr std::size_t kBufferedShare = 8;
// Handlers run in one turn at most, so that timers and commands are not kept waiting by a busy socket.
constexpr int kHandlersATurn = 64;
// The end comes by force at the earliest this long after SIGTERM and the longest deadline, which counts as 3
// s at most. All is answered a good while before.
constexpr Micros kForceAfter = 700'000;
constexpr Micros kLongestCounted = 3'000'000;
constexpr Micros kAnswerMargin = 300'000;
constexpr Micros kExitMargin = 150'000;
// Positions count from shortly before the start where the configuration's origin is not near the present:
// counted on another clock, it says nothing of Unix time.
constexpr Micros kOriginBeforeStart = 600'000'000;
constexpr Micros kOldestOrigin = 86'400'000'000;

std::size_t SocketBudget(int configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return static_cast<std::size_t>(configured - kOwnDescriptors / 2);
  const auto wanted = static_cast<rlim_t>(configured);
  if (limit.rlim_cur < wanted) {
    limit.rlim_cur = limit.rlim_max == RLIM_INFINITY ? wanted : std::min(wanted, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0) getrlimit(RLIMIT_NOFILE, &limit);
  }
  const auto held = static_cast<int>(std::min<rlim_t>(limit.rlim_cur, wanted));
  return static_cast<std::size_t>(std::max(held - kOwnDescriptors, held / 2));
}

ExchangeOptions OptionsOf(const Config& config, Micros now) {
  ExchangeOptions options{config.settings, config.seed, config.zones, config.kinds, config.connect_timeout};
  options.settings.reports_are_floats = false;
  const Micros origin = options.settings.origin;
  if (origin > now || origin < now - kOldestOrigin) options.settings.origin = now - kOriginBeforeStart;
  return options;
}

PoolOptions PoolOptionsOf(const Config& config) {
  const std::size_t budget = SocketBudget(config.sockets);
  const auto clients = static_cast<std::size_t>(kClientShare * static_cast<double>(budget));
  return {config.connect_timeout, config.idle_close, budget - clients};
}

FrontOptions FrontOptionsOf(const Config& config) {
  const std::size_t budget = SocketBudget(config.sockets);
  const auto most = static_cast<std::size_t>(kClientShare * static_cast<double>(budget));
  const auto kept = static_cast<std::size_t>(kKeptShare * config.sockets);
  return {ToEndpoint(config.listen), most, std::min(most, kept), config.memory_bytes / kBufferedShare};
}

}  // namespace

Node::Node(const Config& config)
    : config_(config),
      signals_(io_, SIGHUP, SIGTERM, SIGINT),
      exchange_(OptionsOf(config, clock_.Now())),
      pool_(io_, clock_, exchange_, PoolOptionsOf(config)),
      front_(io_, clock_, exchange_, service_, FrontOptionsOf(config)),
      discovery_(io_, clock_, exchange_, config.discovery, config.known.version),
      due_timer_(io_),
      stop_timer_(io_),
      stop_plan_(PlanStop(config.settings)) {
  signals_.add(SIGUSR1);
  exchange_.Start(clock_.Now(), config.known);
  if (!config.operators.empty()) {
    door_.emplace(
        io_, ToEndpoint(config.operators),
        [this](const std::string& method, const std::string& path) { return AnswerOperator(method, path); });
  }
  service_.Start();
  AwaitSignal();
  const std::string host = SplitAddress(config.listen).host;
  LogLine(config.name + " serves on " + host + ":" + std::to_string(front_.port()) + ", knows " +
          std::to_string(config.known.servers.size()) + " servers");
}

void Node::Run() {
  EndTurn();
  while (!done_) {
    clock_.NewTurn();
    if (io_.run_one() == 0) break;
    for (int handled = 1; handled < kHandlersATurn && io_.poll_one() > 0; ++handled) {
    }
    EndTurn();
  }
  PrintCounters();
}

void Node::EndTurn() {
  exchange_.Tick(clock_.Now());
  for (std::vector<Command> commands = exchange_.TakeCommands(); !commands.empty();
       commands = exchange_.TakeCommands()) {
    for (const Command& command : commands) Carry(command);
  }
  const std::optional<Micros> due = exchange_.NextDue();
  if (due && due != armed_for_) {
    armed_for_ = due;
    due_timer_.expires_at(clock_.ToSteady(*due));
    due_timer_.async_wait([this](std::error_code error) {
      if (!error) armed_for_.reset();
    });
  }
  if (!stop_asked_) return;
  const Micros since = clock_.Now() - *stop_asked_;
  if (service_.ReleasesIdle(clock_.Now()) && listening_) {
    listening_ = false;
    front_.StopAccepting();
    LogLine("draining: " + std::to_string(exchange_.live()) + " requests are still out");
  }
  done_ = (!listening_ && front_.clients() == 0) || since >= stop_plan_.exit_by;
  if (!done_) {
    stop_timer_.expires_after(std::chrono::milliseconds(10));
    stop_timer_.async_wait([](std::error_code) {});
  }
}

void Node::Carry(const Command& command) {
  if (const auto* attempt = std::get_if<StartAttempt>(&command)) return pool_.Start(*attempt);
  if (const auto* probe = std::get_if<StartProbe>(&command)) return pool_.Start(*probe);
  if (const auto* end = std::get_if<EndTicket>(&command)) return pool_.End(end->ticket);
  if (const auto* address = std::get_if<SetAddress>(&command)) {
    return pool_.SetAddress(address->server, address->address);
  }
  if (const auto* forget = std::get_if<ForgetServer>(&command)) return pool_.Forget(forget->server);
  if (const auto* idle = std::get_if<CloseIdleConnections>(&command)) return pool_.CloseIdle(idle->server);
  if (const auto* answer = std::get_if<AnswerRequest>(&command))
    return front_.Deliver(answer->id, answer->answer);
  if (const auto* log = std::get_if<WriteLog>(&command)) return LogLine("decisions: " + log->text);
  discovery_.Refresh();
}

void Node::AwaitSignal() {
  signals_.async_wait([this](std::error_code error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) {
      PrintCounters();
    } else if (signal == SIGHUP) {
      Reload();
    } else if (!stop_asked_) {
      Stop();
    }
    AwaitSignal();
  });
}

StopPlan PlanStop(const Settings& settings) {
  Micros deadline = 0;
  for (const ClassSettings& c : settings.classes) deadline = std::max(deadline, c.deadline);
  const Micros force = std::min(deadline, kLongestCounted) + kForceAfter;
  return {force - kAnswerMargin, force - kExitMargin};
}

void Node::Stop() {
  stop_asked_ = clock_.Now();
  service_.Stop(*stop_asked_);
  exchange_.EndBy(*stop_asked_ + stop_plan_.answer_by);
  LogLine("told to stop");
}

// Of a new configuration only the address of discovery is taken over: all else was built into what runs.
void Node::Reload() {
  try {
    const std::string address = ReloadConfig().discovery;
    discovery_.Redirect(address);
    LogLine("configuration read anew: discovery is at " + address);
  } catch (const std::exception& error) {
    LogLine("the new configuration is not used: " + std::string(error.what()));
  }
}

Reply Node::AnswerOperator(const std::string& method, const std::string& path) {
  const std::string wanted = path == "/control/ready" || path == "/control/counters"              ? "GET"
                             : path == "/control/out-of-service" || path == "/control/in-service" ? "POST"
                                                                                                  : "";
  if (wanted.empty()) return {404, "no such call\n"};
  if (method != wanted) return {405, "this call is a " + wanted + "\n", wanted};
  const Micros now = clock_.Now();
  if (path == "/control/counters") return {200, ToText(exchange_.FiguresAt(now), '\n')};
  if (path == "/control/ready") return service_.ready() ? Reply{200, "yes\n"} : Reply{503, "no\n"};
  if (path == "/control/in-service") {
    if (!service_.PutBack()) return {409, "stopping\n"};
    LogLine("put back into service");
    return {200, "in service\n"};
  }
  service_.TakeOut(now);
  LogLine("taken out of service: " + std::to_string(exchange_.live()) + " requests are still out");
  return {200, "out of service\n"};
}

void Node::PrintCounters() {
  const auto text = [](const char* name, std::uint64_t value) {
    return std::string(" ") + name + "=" + std::to_string(value);
  };
  const FrontCounters& f = front_.counters();
  const PoolCounters& p = pool_.counters();
  const DiscoveryCounters& d = discovery_.counters();
  LogLine("figures: " + ToText(exchange_.FiguresAt(clock_.Now()), ' '));
  LogLine("requests: " + ToText(exchange_.counters()));
  LogLine("clients:" + text("open", front_.clients()) + text("accepted", f.accepted) +
          text("turned_away", f.turned_away) + text("shed", f.shed) + text("idle", f.idle) +
          text("silent", f.silent) + text("malformed", f.malformed) + text("accept_errors", f.accept_errors));
  LogLine("servers:" + text("open", pool_.connections()) + text("opened", p.opened) +
          text("open_failed", p.open_failed) + text("retired", p.retired) + text("given_up", p.given_up) +
          text("broken", p.broken) + text("garbage", p.garbage) + text("stray", p.stray) +
          text("no_room", p.no_room));
  if (door_) {
    const DoorCounters& o = door_->counters();
    LogLine("door:" + text("calls", o.calls) + text("bad", o.bad) + text("silent", o.silent));
  }
  LogLine("discovery:" + text("connects", d.connects) + text("lost", d.lost) +
          text("bad_lines", d.bad_lines));
}

}  // namespace tulipyoke::net
