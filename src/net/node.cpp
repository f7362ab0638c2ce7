#include "src/net/node.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <exception>
#include <utility>
#include <variant>

#include "src/log/log.hpp"
#include "src/net/address.hpp"

namespace tulipyoke::net {
namespace {

// Descriptors that are neither a client's nor a server's: standard streams, the loop's own, the listening
// socket, discovery, and clients that are being told that there is no room.
constexpr int kOwnDescriptors = 48;
constexpr double kClientShare = 0.55;
// Open requests; the rest of the third is for those that come meanwhile.
constexpr double kOpenShare = 0.2;
// Clients hold a third of the descriptors for requests at most; idle ones are closed well before.
constexpr double kKeptShare = 0.25;
// Share of the memory that clients' unread bytes may take, and as much again their statements under way.
constexpr std::size_t kBufferedShare = 8;
// And the share that large statements may take.
constexpr double kStatementShare = 0.375;
// Handlers run in one turn at most, so that timers and commands are not kept waiting by a busy socket.
constexpr int kHandlersATurn = 64;
// The end comes by force at the earliest this long after SIGTERM and the longest deadline, which counts as 3
// s at most. All is answered a good while before.
constexpr Micros kForceAfter = 700'000;
constexpr Micros kLongestCounted = 3'000'000;
constexpr Micros kAnswerMargin = 300'000;
constexpr Micros kExitMargin = 150'000;
// How often a stop looks whether all is done, where nothing else makes a turn.
constexpr auto kStopTurn = std::chrono::milliseconds(10);
// A stop waits so long for a message that has begun to come.
constexpr Micros kSlowest = 2'200'000;
// While two processes of this router run, each has this part of the descriptors and the memory.
constexpr double kShareBeside = 0.5;
// Connections to servers that the older process keeps beside one for each request, and how often it looks.
constexpr std::size_t kServersSpare = 16;
constexpr auto kShrinkEvery = std::chrono::milliseconds(50);
// The older process tells all that it knows within milliseconds; one that hangs is not waited for.
constexpr auto kSyncWait = std::chrono::milliseconds(1000);
// Positions count from shortly before the start where the configuration's origin is not near the present:
// counted on another clock, it says nothing of Unix time.
constexpr Micros kOriginBeforeStart = 600'000'000;
constexpr Micros kOldestOrigin = 86'400'000'000;

// What this process may hold where it has the whole of the configured number.
int SocketsOf(int configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
  const auto wanted = static_cast<rlim_t>(configured);
  if (limit.rlim_cur < wanted) {
    limit.rlim_cur = limit.rlim_max == RLIM_INFINITY ? wanted : std::min(wanted, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0) getrlimit(RLIMIT_NOFILE, &limit);
  }
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, wanted));
}

struct Budget {
  FrontLimits clients;
  std::size_t servers = 0;
};
Budget BudgetOf(const Config& config, double share) {
  const int held = static_cast<int>(share * SocketsOf(config.sockets));
  const auto sockets = static_cast<double>(std::max(held - kOwnDescriptors, held / 2));
  const auto most = static_cast<std::size_t>(kClientShare * sockets);
  const auto kept = static_cast<std::size_t>(kKeptShare * config.sockets);
  const auto bytes = static_cast<std::size_t>(share * static_cast<double>(config.memory_bytes));
  const auto statements = static_cast<std::size_t>(kStatementShare * static_cast<double>(bytes));
  const auto open = static_cast<std::size_t>(kOpenShare * share * config.sockets);
  return {{most, std::min(most, open), std::min(most, kept), bytes / kBufferedShare, statements},
          static_cast<std::size_t>(sockets) - most};
}

Micros LongestDeadline(const Settings& settings) {
  Micros deadline = 0;
  for (const ClassSettings& c : settings.classes) deadline = std::max(deadline, c.deadline);
  return deadline;
}

// Nothing where the registry is no source of this router.
std::string WatchedAddress(const Config& config) {
  return config.directory.on() && config.directory.registry() < 0 ? "" : config.discovery;
}

ExchangeOptions OptionsOf(const Config& config, Micros now) {
  ExchangeOptions options{config.settings,        config.seed, config.zones, config.kinds,
                          config.connect_timeout, config.trace};
  options.settings.reports_are_floats = false;
  const Micros origin = options.settings.origin;
  if (origin > now || origin < now - kOldestOrigin) options.settings.origin = now - kOriginBeforeStart;
  return options;
}

PoolOptions PoolOptionsOf(const Config& config) {
  return {config.connect_timeout, config.idle_close, BudgetOf(config, 1).servers};
}

FrontOptions FrontOptionsOf(const Config& config, std::function<void()> before_request) {
  return {ToEndpoint(config.listen), BudgetOf(config, 1).clients, config.accept_fd,
          std::move(before_request)};
}

}  // namespace

Node::Node(const Config& config)
    : config_(config),
      signals_(io_, SIGHUP, SIGTERM, SIGINT),
      exchange_(OptionsOf(config, clock_.Now())),
      pool_(io_, clock_, exchange_, PoolOptionsOf(config)),
      front_(io_, clock_, exchange_, service_, FrontOptionsOf(config, [this] { handover_.Poll(); })),
      directory_(MakeDirectory()),
      discovery_(
          io_, [this](const Listing& listing) { HeardRegistry(listing); }, WatchedAddress(config),
          config.known.version, discovery::PollBackoff(config.settings, config.seed)),
      handover_(io_, config.accept_fd < 0 ? "" : config.temporary, config.name, config.seed,
                HandoverEvents()),
      due_timer_(io_),
      stop_timer_(io_),
      serve_timer_(io_),
      sessions_timer_(io_),
      shrink_timer_(io_),
      stop_plan_(PlanStop(config.settings)) {
  signals_.add(SIGUSR1);
  exchange_.Start(clock_.Now(), config.known);
  if (directory_ && !config.known.servers.empty()) directory_->SeedRegistry(config.known);
  if (!config.operators.empty()) {
    door_.emplace(
        io_, ToEndpoint(config.operators),
        [this](const std::string& method, const std::string& path) { return AnswerOperator(method, path); });
  }
  AwaitSignal();
  if (!handover_.JoinOlder()) {
    Serve();
    return;
  }
  LogInfo("takes_over", config.name + " takes over from a running process", {{"name", config.name}});
  Take(kShareBeside);
  exchange_.TellOthers(true);
  exchange_.SessionsAre(clock_.Now(), {.known = false});
  serve_timer_.In(kSyncWait, [this] {
    if (service_.state() != Service::State::kStarting) return;
    handover_.Part(Handover::Partner::kOlder);
    Serve();
  });
}

void Node::Serve() {
  if (service_.state() != Service::State::kStarting) return;
  serve_timer_.Off();
  service_.Start();
  front_.StartAccepting();
  handover_.Step(Handover::Partner::kOlder, HandoverStep::kServing);
  handover_.Offer();
  const Config& config = config_;
  const std::string host = SplitAddress(config.listen).host;
  const std::string address = host + ":" + std::to_string(front_.port());
  const std::size_t known = config.known.servers.size();
  LogInfo("serving", config.name + " serves on " + address + ", knows " + std::to_string(known) + " servers",
          {{"name", config.name}, {"address", address}, {"servers", static_cast<std::int64_t>(known)}});
}

std::unique_ptr<discovery::DnsSdDiscovery> Node::MakeDirectory() {
  if (!config_.directory.on()) return nullptr;
  return std::make_unique<discovery::DnsSdDiscovery>(
      io_, clock_, config_.directory,
      [this](const Listing& listing) { exchange_.Heard(clock_.Now(), listing); });
}

void Node::HeardRegistry(const Listing& listing) {
  if (directory_)
    directory_->OnRegistryUpdate(listing);
  else
    exchange_.Heard(clock_.Now(), listing);
}

void Node::Run() {
  EndTurn();
  while (!done_) {
    clock_.NewTurn();
    ++turns_;
    if (io_.run_one() == 0) break;
    CarryOut();
    for (int handled = 1; handled < kHandlersATurn && io_.poll_one() > 0; ++handled) CarryOut();
    EndTurn();
  }
  PrintCounters();
}

Handover::Events Node::HandoverEvents() {
  return {[this](Handover::Partner partner, HandoverStep step) { OnStep(partner, step); },
          [this](const HandoverHolds& holds) {
            const double sockets = config_.sockets;
            Take(std::max(kShareBeside, (sockets - holds.descriptors) / sockets));
          },
          [this](const SessionNews& news) { exchange_.Learn(clock_.Now(), news); },
          [this](const ServerNews& news) { exchange_.Learn(clock_.Now(), news); },
          [this](Handover::Partner partner, bool done) { OnParted(partner, done); }};
}

void Node::OnStep(Handover::Partner partner, HandoverStep step) {
  if (partner == Handover::Partner::kOlder) {
    if (step != HandoverStep::kSynced) return;
    exchange_.SessionsAre(clock_.Now(), {.known = true});
    return Serve();
  }
  if (step == HandoverStep::kHello) {
    // Room first: together both hold no more than one may.
    LogInfo("newer_process", "a newer process has come: half of the room is left to it");
    Take(kShareBeside);
    exchange_.TellOthers(true);
    for (const ServerNews& news : exchange_.Shown()) handover_.TellNewer(news);
    for (const SessionNews& news : exchange_.Sessions()) handover_.TellNewer(news);
    handover_.Step(partner, HandoverStep::kSynced);
  } else if (step == HandoverStep::kServing) {
    LogInfo("handed_over", "the newer process takes the clients: " + std::to_string(exchange_.live()) +
                               " requests are still out");
    front_.PauseAccepting();
    service_.HandOver(clock_.Now());
    told_holds_ = config_.sockets;
    Shrink();
  }
}

void Node::Shrink() {
  if (service_.state() != Service::State::kHandedOver) return;
  pool_.Resize(exchange_.live() + kServersSpare);
  const auto held = static_cast<int>(front_.clients() + pool_.connections()) + kOwnDescriptors;
  if (held < told_holds_) handover_.TellNewer(HandoverHolds{told_holds_ = held});
  shrink_timer_.In(kShrinkEvery, [this] { Shrink(); });
}

// What a partner answered its clients without a word here may be read by nobody too early: until all of it
// must have ended, and from then on for all sessions that are not known.
void Node::OnParted(Handover::Partner partner, bool done) {
  LogInfo("partner_left", std::string("the ") + (partner == Handover::Partner::kOlder ? "older" : "newer") +
                              " process " + (done ? "has ended" : "broke off"));
  if (handover_.alone()) {
    Take(1);
    exchange_.TellOthers(false);
  }
  if (!done) {
    exchange_.SessionsAre(clock_.Now(), {.known = false});
    sessions_timer_.In(std::chrono::microseconds(LongestDeadline(config_.settings)),
                       [this] { exchange_.SessionsAre(clock_.Now(), {.known = true, .lost = true}); });
  }
  if (partner == Handover::Partner::kOlder) return Serve();
  if (service_.state() != Service::State::kHandedOver) return;
  service_.TakeBack(clock_.Now());
  if (listening_ && !stop_asked_) front_.StartAccepting();
}

void Node::Take(double share) {
  const Budget budget = BudgetOf(config_, share);
  front_.Resize(budget.clients);
  pool_.Resize(budget.servers);
}

// Behind each handler: what one of them ended, the next one of the same turn must not begin.
void Node::CarryOut() {
  for (std::vector<Command> commands = exchange_.TakeCommands(); !commands.empty();
       commands = exchange_.TakeCommands()) {
    for (const Command& command : commands) Carry(command);
  }
}

void Node::EndTurn() {
  exchange_.Tick(clock_.Now());
  CarryOut();
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
  const bool alone = service_.state() != Service::State::kHandedOver;
  if (service_.WindowOver(clock_.Now()) && listening_) {
    listening_ = false;
    // What waits in a shared listening socket is the other process's.
    if (service_.state() != Service::State::kHandedOver) front_.StopAccepting();
    LogInfo("draining", "draining: " + std::to_string(exchange_.live()) + " requests are still out");
  }
  if (since >= stop_plan_.answer_by) front_.Dismiss();
  // Others may be stopped in turn, and this one's successor begins when it has ended: it stays for nobody who
  // only holds a connection.
  done_ = (!listening_ && (front_.clients() == 0 || (alone && !front_.Owes(kSlowest)))) ||
          since >= stop_plan_.exit_by;
  if (done_) handover_.Stop();
  // Armed anew only once it has fired: to move it would end its wait, and that makes a turn of its own, so
  // that the loop would never rest until it ends.
  if (done_ || std::exchange(stop_timer_armed_, true)) return;
  stop_timer_.expires_after(kStopTurn);
  stop_timer_.async_wait([this](std::error_code) { stop_timer_armed_ = false; });
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
  if (const auto* tell = std::get_if<TellPartners>(&command)) {
    return std::visit([this](const auto& news) { handover_.Tell(news); }, tell->news);
  }
  if (const auto* step = std::get_if<WriteTrace>(&command))
    return LogInfo("trace", "trace: at=" + std::to_string(step->when) + " " + step->text);
  if (const auto* log = std::get_if<WriteLog>(&command))
    return LogInfo("decision", "decisions: " + log->text);
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
  const Micros force = std::min(LongestDeadline(settings), kLongestCounted) + kForceAfter;
  return {force - kAnswerMargin, force - kExitMargin};
}

void Node::Stop() {
  stop_asked_ = clock_.Now();
  service_.Stop(*stop_asked_);
  exchange_.EndBy(*stop_asked_ + stop_plan_.answer_by);
  LogInfo("told_to_stop", "told to stop");
}

// Of a new configuration only the address of discovery is taken over: all else was built into what runs.
void Node::Reload() {
  try {
    const std::string address = ReloadConfig().discovery;
    discovery_.Redirect(address);
    LogInfo("configuration_read", "configuration read anew: discovery is at " + address);
  } catch (const std::exception& error) {
    LogWarning("configuration_refused", "the new configuration is not used: " + std::string(error.what()));
  }
}

Reply Node::AnswerOperator(const std::string& method, const std::string& path) {
  const bool reads =
      path == "/control/ready" || path == "/control/counters" || (directory_ && path == "/control/servers");
  const std::string wanted = reads                                                                ? "GET"
                             : path == "/control/out-of-service" || path == "/control/in-service" ? "POST"
                                                                                                  : "";
  if (wanted.empty()) return {404, "no such call\n"};
  if (method != wanted) return {405, "this call is a " + wanted + "\n", wanted};
  const Micros now = clock_.Now();
  if (path == "/control/servers") return {200, ToText(*directory_, now)};
  if (path == "/control/counters") return {200, ToText(exchange_.FiguresAt(now), '\n')};
  if (path == "/control/ready") return service_.ready() ? Reply{200, "yes\n"} : Reply{503, "no\n"};
  if (path == "/control/in-service") {
    if (!service_.PutBack()) return {409, "stopping\n"};
    LogInfo("put_back", "put back into service");
    return {200, "in service\n"};
  }
  service_.TakeOut(now);
  LogInfo("taken_out",
          "taken out of service: " + std::to_string(exchange_.live()) + " requests are still out");
  return {200, "out of service\n"};
}

void Node::PrintCounters() {
  const auto text = [](const char* name, std::uint64_t value) {
    return std::string(" ") + name + "=" + std::to_string(value);
  };
  const FrontCounters& f = front_.counters();
  const PoolCounters& p = pool_.counters();
  const discovery::RegistryWatchCounters& d = discovery_.counters();
  LogInfo("figures", "figures: " + ToText(exchange_.FiguresAt(clock_.Now()), ' '));
  LogInfo("requests", "requests: " + ToText(exchange_.counters()));
  LogInfo("clients", "clients:" + text("open", front_.clients()) + text("accepted", f.accepted) +
                         text("turned_away", f.turned_away) + text("shed", f.shed) + text("idle", f.idle) +
                         text("silent", f.silent) + text("malformed", f.malformed) +
                         text("accept_errors", f.accept_errors));
  LogInfo("servers", "servers:" + text("open", pool_.connections()) + text("opened", p.opened) +
                         text("open_failed", p.open_failed) + text("retired", p.retired) +
                         text("given_up", p.given_up) + text("broken", p.broken) +
                         text("garbage", p.garbage) + text("stray", p.stray) + text("no_room", p.no_room));
  if (door_) {
    const DoorCounters& o = door_->counters();
    LogInfo("door", "door:" + text("calls", o.calls) + text("bad", o.bad) + text("silent", o.silent));
  }
  if (directory_) {
    const membership::Counters& m = directory_->membership().counters();
    LogInfo("membership", "membership:" + text("servers", directory_->membership().size()) +
                              text("vanished", m.vanished) + text("returned", m.returned) +
                              text("restarts", m.restarts) + text("moved", m.moved) +
                              text("disagreed", m.disagreed) + text("held_down", m.held_down) +
                              text("admitted", m.admitted) + text("over", m.over));
    for (const discovery::DnsSdDiscovery::ZoneStatus& zone : directory_->Zones()) {
      LogInfo("zone",
              "zone " + zone.source + ":" + text("instances", zone.instances.size()) +
                  text("looks", zone.browser.polls) + text("told", zone.browser.accepted_lists) +
                  text("failed", zone.browser.failed_queries) +
                  text("old_copies", zone.browser.stale_answers) +
                  text("no_authority", zone.browser.non_authoritative) +
                  text("bad_records", zone.browser.rejected_records) +
                  text("over", zone.browser.oversized_lists) + text("transfers", zone.browser.transfers) +
                  text("queries", zone.resolver.udp_queries) + text("streams", zone.resolver.tcp_queries) +
                  text("timeouts", zone.resolver.timeouts) + text("switched", zone.resolver.failovers));
    }
  }
  LogInfo("discovery", "discovery:" + text("connects", d.connects) + text("lost", d.disconnects) +
                           text("bad_lines", d.invalid_values));
}

}  // namespace tulipyoke::net
