// Every decision of tulipyoke. Its types, events and actions are in include/tulipyoke/router.hpp.
//
// Sections follow a request's life: arrival, choosing, sending, waiting, the outcome, giving up. Around them
// stand what is known of servers (list, positions, roles, health, warmth) and the housekeeping.
#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

#include "src/limits/cold_budget.hpp"
#include "src/limits/crowding.hpp"
#include "src/sessions/commits.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {
namespace {

// Share of a new sample in a smoothed value: about the last ten answers count.
constexpr double kSmoothing = 0.1;
// Share of the aim that a class is taken to need before its first answer.
constexpr double kFirstGuess = 0.25;
// The limit of own requests at a server falls to this share at each sign of crowding; one a round returns.
constexpr double kCrowdedShare = 0.8;
// An answer later than this share of its aim is such a sign: a full aim leaves nothing for waiting or a
// second try.
constexpr double kCrowdedAim = 0.6;
// What comes after a silence counts for more in a smoothed value than one of many: up to this share. Hundreds
// of routers see little each, and what one saw a while ago says less than what it sees now.
constexpr double kMostShare = 0.5;
// Share of its aim within which a read that needs no position is served by a replica too stale for others.
constexpr double kSpareAim = 0.5;
// An answer of a primary within so many usual times says that it has room to spare.
constexpr double kSpareTimes = 2.0;
// What only a primary can take has so many of the even parts of a cold server; a cold primary has no spare
// room.
constexpr double kOnlyPlace = 2.0;
// Servers that one read asks for their queue, or that turn it away: of three one is sound on most bad days.
constexpr int kLooks = 3;
// Probes for waiting reads, as a share of arrivals; the rest wait for what answers show.
constexpr double kProbeShare = 0.2;
// Housekeeping runs this often within the shortest aim, so that a failed prediction still leaves time.
constexpr int kChecksPerAim = 8;
// A slowness not confirmed for this many longest deadlines has faded to a third: it is tried again.
constexpr double kForgetDeadlines = 2.0;
// What a new connection and another zone add to a server's time, as shares of a usual answer; and how much of
// the time that an idle connection lasts is left.
constexpr double kWayShare = 0.3;
constexpr double kLinked = 0.4;
// Slowest apply rate that is believed: a replica that stands still may go on at any moment.
constexpr double kLeastRate = 0.05;
// Two positions nearer than this many ticks tell no rate: rounding would dominate.
constexpr int kRateTicks = 10;
// Tries of a server that fails or turns away back off by this factor up to the longest aim.
constexpr double kTrialBackoff = 2.0;
// Resends after an attempt that may have run, as a share of arrivals, and how many may come at once.
constexpr double kResendShare = 0.2;
constexpr double kResendBurst = 20.0;
// Share of a new outcome in the share of a server's attempts that fail, and the share from which on a reset
// is the server's own: some networks and answers fail at all servers alike, and leaving each out for it would
// leave too few. A share that nothing confirms fades, so that the server is tried again.
constexpr double kFailureStep = 0.2;
constexpr double kFailingShare = 0.5;
constexpr double kMostFailing = 0.95;
// What an attempt that failed takes of the budget for resends: it is no sign of crowding.
constexpr double kFailureCost = 0.4;
// How many warm-up times make a session's commit old: many of these are merged.
constexpr int kTokenSpans = 4;

constexpr Micros kNever = std::numeric_limits<Micros>::max() / 4;
constexpr int kUnknown = -1;
constexpr double kNoLimit = 1e9;
constexpr std::uint64_t kHousekeeping = std::numeric_limits<std::uint64_t>::max();

double Ratio(double a, double b) { return b > 0 ? a / b : 0; }

// What is out at a server: kept there until its outcome, even when the request has ended.
struct Flight {
  RequestId id = 0;
  int attempt = 0, class_index = 0;
  std::uint64_t key = 0;
  Micros sent = 0;
  bool cancelled = false;
  bool scout = false;  // sent on a prediction alone: the server may turn it away
};

struct Server {
  ServerId id = 0;
  int group = kUnknown, zone = 0;
  bool open = false, listed_primary = false;     // listed as ready, listed as primary
  Micros boot = 0, known_since = 0, listed = 0;  // listed: when it was last known to be open
  // Role and position (after the origin), with the time of the evidence.
  Role role = Role::kUnknown;
  Micros role_time = kUnknown, position = kUnknown, position_time = 0;
  Micros rate_position = kUnknown, rate_time = 0;
  double rate = 1;
  // Reported: requests of all gateways that wait there, with the time of the evidence.
  double queued = 0;
  Micros queue_time = 0;
  // Own traffic.
  std::vector<Flight> flights;
  double slowness = 1, work_rate = 0;  // work_rate: decayed sum of finished work
  Micros slowness_time = 0, work_time = 0, last_answer = kUnknown;
  double failing = 0;  // smoothed share of attempts that failed, with the time of the newest
  Micros failing_time = 0;
  // Crowding.
  double limit = kNoLimit;
  Micros next_cut = 0;
  // Health; unreachable: while suspect, a reset or a dead probe was seen.
  bool suspect = false, unreachable = false;
  Micros suspect_from = 0, suspect_since = 0, next_try = 0, back_off = 0;
  // Probing.
  bool probing = false;
  Micros probe_sent = kUnknown, probe_done = kUnknown, probe_gap = 0;
  // Warmth.
  Micros cold_since = kUnknown;
  limits::ColdBudget cold_budget;
};

struct Request {
  RequestId id = 0;
  int class_index = 0, group = 0;
  std::uint64_t key = 0;
  Micros arrived = 0, deadline = 0;
  Micros token = kUnknown;  // position a session read needs
  int sends = 0, out = 0, looks = 0, misses = 0;
  ServerId looking = 0;
  Micros look_until = 0;
  Micros first_maybe = kUnknown;  // send of the first attempt that may have run or is out
  bool maybe_ran = false, held = false, turned_away = false, admitted = false, shed = false;
  double earns = 0;  // what an answer is worth, as far as its wait tells of earlier tries
  std::optional<ServerId> choice = {};
  Micros rescore_at = 0;
  std::vector<ServerId> failed_at = {};
};

struct Group {
  std::vector<ServerId> members;
  std::vector<RequestId> held;
  bool has_primary = false;
  limits::Crowding crowding;  // of its replicas
  limits::SpareRoom spare;    // of its primary
  ServerId primary = 0;
  double warm_rate = 0;  // what a warm member was last seen to finish for this router, a microsecond
};

}  // namespace

struct Router::State {
  Settings settings;
  std::uint64_t random = 0;
  Micros now = 0;
  std::vector<Action>* actions = nullptr;

  std::map<RequestId, Request> requests;
  std::map<ServerId, Server> servers;
  std::map<int, Group> groups;
  sessions::Commits commits;
  std::size_t most_open = 0;  // servers that were in service at once
  std::vector<double> class_latency;
  std::vector<limits::FirstTries> first_tries;
  double resends = 1;
  double probe_budget = 1, burst = 1;  // burst: this router's part of what all may do at once
  bool housekeeping_set = false, sessions_known = true;
  Micros next_ask = 0, check_gap = 0, longest_aim = 0, longest_deadline = 0;
  Micros tightest_bound = kNever;
  int x0_field = kUnknown, x1_field = kUnknown, queue_field = kUnknown, inflight_field = kUnknown;
  double slots = 1;  // requests in work at once where others wait, smoothed over reports

  State(const Settings& given, std::uint64_t seed) : settings(given), random(seed) {
    Micros shortest_aim = kNever;
    for (ClassSettings& c : settings.classes) {
      if (c.deadline <= 0) c.deadline = c.latency_objective;
      if (c.latency_objective <= 0) c.latency_objective = c.deadline;
      shortest_aim = std::min(shortest_aim, c.latency_objective);
      longest_aim = std::max(longest_aim, c.latency_objective);
      longest_deadline = std::max(longest_deadline, c.deadline);
      if (c.freshness == Freshness::kBounded) tightest_bound = std::min(tightest_bound, c.staleness_bound);
      class_latency.push_back(kFirstGuess * static_cast<double>(c.latency_objective));
    }
    first_tries.resize(settings.classes.size());
    settings.router_count = std::max(settings.router_count, 1);
    burst = probe_budget = std::max(1.0, kResendBurst / settings.router_count);
    settings.clock_resolution = std::max<Micros>(settings.clock_resolution, 1);
    if (shortest_aim == kNever) shortest_aim = 0;
    check_gap = std::max(settings.clock_resolution, shortest_aim / kChecksPerAim);
    for (std::size_t i = 0; i < settings.report_fields.size(); ++i) {
      if (settings.report_fields[i] == "x0") x0_field = static_cast<int>(i);
      if (settings.report_fields[i] == "x1") x1_field = static_cast<int>(i);
      if (settings.report_fields[i] == "queue") queue_field = static_cast<int>(i);
      if (settings.report_fields[i] == "inflight") inflight_field = static_cast<int>(i);
    }
  }

  // ---- Small helpers -------------------------------------------------------------------------------------

  std::uint64_t Draw() {  // SplitMix64
    std::uint64_t z = random += 0x9e3779b97f4a7c15;
    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
    z = (z ^ z >> 27) * 0x94d049bb133111eb;
    return z ^ z >> 31;
  }
  double Chance() { return static_cast<double>(Draw() >> 11) / 9007199254740992.0; }  // in [0, 1)
  void Do(Action action) { actions->push_back(std::move(action)); }
  const ClassSettings& ClassOf(int index) const { return settings.classes[static_cast<std::size_t>(index)]; }
  template <typename Map, typename Key>
  static auto* Lookup(Map& map, Key key) {
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
  }
  Server* Find(ServerId id) { return Lookup(servers, id); }
  Request* FindRequest(RequestId id) { return Lookup(requests, id); }
  Micros Position(Micros clock) const { return clock - settings.position_epoch; }
  static bool NeedsPrimary(const ClassSettings& c) {
    return c.freshness == Freshness::kWrite || c.freshness == Freshness::kFresh;
  }

  // ---- Smoothed times and load ---------------------------------------------------------------------------

  // What is left of something seen at that time; nothing has confirmed it since.
  Micros FadeSpan() const {
    return static_cast<Micros>(kForgetDeadlines * static_cast<double>(std::max<Micros>(longest_deadline, 1)));
  }
  double Faded(Micros since) const {
    return std::exp(-static_cast<double>(now - since) / static_cast<double>(FadeSpan()));
  }
  double Slowness(const Server& s) const { return 1 + (s.slowness - 1) * Faded(s.slowness_time); }
  double Usual(int class_index) const { return class_latency[static_cast<std::size_t>(class_index)]; }
  double Expected(const Server& s, int class_index) const { return Usual(class_index) * Slowness(s); }
  // The same where it tells of the moment only.
  double Fresh(Micros since) const {
    return std::exp(-Ratio(static_cast<double>(now - since), static_cast<double>(longest_aim)));
  }
  double Failing(const Server& s) const { return s.failing * Fresh(s.failing_time); }
  void CountOutcome(Server& s, bool failed) {
    s.failing = Failing(s) + kFailureStep * ((failed ? 1 : 0) - Failing(s));
    s.failing_time = now;
  }
  // Remaining work of this router's own requests in flight there.
  double Load(const Server& s) const {
    double sum = 0;
    for (const Flight& f : s.flights) {
      sum += std::max(0.0, Expected(s, f.class_index) - static_cast<double>(now - f.sent));
    }
    return sum;
  }
  // What is left of the queue that was reported there, as it is worked off from then on.
  double OthersLoad(const Server& s, int class_index) const {
    const double whole = s.queued / slots * Expected(s, class_index);
    return std::max(0.0, whole - static_cast<double>(now - s.queue_time));
  }
  // Server and class are told apart: a class that only crowded servers can take does not seem slow by itself.
  void Learn(Server& s, int class_index, Micros elapsed) {
    double& mean = class_latency[static_cast<std::size_t>(class_index)];
    const double sample = static_cast<double>(std::max<Micros>(elapsed, 1));
    const double before = Slowness(s);
    const double share = std::max(kSmoothing, kMostShare * (1 - Fresh(s.slowness_time)));
    s.slowness = before + share * (sample / std::max(mean, 1.0) - before);
    s.slowness_time = now;
    mean += kSmoothing * kSmoothing * (sample / before - mean);
  }
  void CountWork(Server& s, int class_index) {
    s.work_rate *= std::exp(-static_cast<double>(now - s.work_time) / WorkSpan());
    s.work_rate += Usual(class_index) / WorkSpan();
    s.work_time = now;
  }
  // Too many at a server make all late: the limit of own requests there falls at each sign (turned away,
  // timed out, later than kCrowdedAim), once a round, and recovers with each answer in time.
  void Crowded(Server& s) {
    if (now < s.next_cut) return;
    s.limit = std::max(1.0, kCrowdedShare * std::min(s.limit, static_cast<double>(s.flights.size() + 1)));
    s.next_cut = now + check_gap;
  }
  double WorkSpan() const {
    return static_cast<double>(std::max({settings.overload_window, settings.slow_start_window, Micros{1}}));
  }
  // Work finished there for this router, a microsecond, over about a warm-up: one of many sees few answers.
  // What was finished before it was known here cannot have been counted: early on the sum stands for less.
  double WorkRate(const Server& s) const {
    const double known = static_cast<double>(std::max(now - s.known_since, settings.overload_window));
    const double counted = 1 - std::exp(-known / WorkSpan());
    return Ratio(s.work_rate * std::exp(-static_cast<double>(now - s.work_time) / WorkSpan()), counted);
  }

  // ---- Positions and roles -------------------------------------------------------------------------------

  void ShowPosition(Server& s, Micros position, bool exact) {
    if (position < 0 || position > Position(now)) return;  // absurd: nobody is ahead of the clock
    if (position < s.position || (position == s.position && !exact)) return;
    const Micros span = now - s.rate_time;
    if (s.rate_position == kUnknown) {
      s.rate_position = position;
      s.rate_time = now;
    } else if (span >= kRateTicks * settings.clock_resolution) {
      s.rate = Ratio(static_cast<double>(position - s.rate_position), static_cast<double>(span));
      s.rate_position = position;
      s.rate_time = now;
    }
    s.position = position;
    s.position_time = now;
  }
  // Newest evidence wins; the group's primary is the member last heard to be one.
  void HearRole(Server& s, Role role, Micros when) {
    if (role == Role::kUnknown || when < s.role_time) return;
    s.role = role;
    s.role_time = when;
    FindPrimary(groups[s.group]);
  }
  void FindPrimary(Group& g) {
    const Server* best = nullptr;
    const Server* listed = nullptr;
    for (const ServerId id : g.members) {
      const Server& s = servers[id];
      if (s.role == Role::kPrimary && (!best || s.role_time > best->role_time)) best = &s;
      if (s.role == Role::kUnknown && s.listed_primary) listed = &s;
    }
    if (!best) best = listed;
    g.has_primary = best != nullptr;
    g.primary = best ? best->id : 0;
  }
  void HearReport(Server& s, const Report& report) {
    const auto value = [&](int field) {
      const bool there = field >= 0 && static_cast<std::size_t>(field) < report.size();
      return there ? report[static_cast<std::size_t>(field)] : -1.0;
    };
    const double x0 = value(x0_field), x1 = value(x1_field);
    const double queue = value(queue_field), in_work = value(inflight_field) - queue;
    if (queue >= 0 && queue < 1e6) {
      s.queued = queue;
      s.queue_time = now;
      if (queue >= 1 && in_work < 1e6) slots += kSmoothing * (std::max(1.0, in_work) - slots);
    }
    if (!(x0 > 0 && x0 < 1e12)) return;
    // A float may have been rounded up: take the one below.
    const double below = settings.reports_are_floats ? std::nextafter(static_cast<float>(x0), 0.0F) : x0;
    const auto position = static_cast<Micros>(below * 1e6);
    if (position > Position(now)) return;
    // A position is never later than its report, so it dates the role: a primary's exactly.
    if (x1 == 1.0) HearRole(s, Role::kPrimary, position + settings.position_epoch);
    if (x1 == 0.0) HearRole(s, Role::kReplica, position + settings.position_epoch);
    ShowPosition(s, position, false);
  }

  // ---- The list ------------------------------------------------------------------------------------------

  void On(const EndpointListUpdate& news) {
    if (news.kind == EndpointListKind::kFailed) next_ask = now + longest_aim;
    if (news.kind == EndpointListKind::kFull || news.kind == EndpointListKind::kCached) {
      for (auto& [id, s] : servers) {
        const auto names = [&, key = id](const EndpointEntry& e) { return e.server == key; };
        const bool named = std::any_of(news.entries.begin(), news.entries.end(), names);
        if (!named && !settings.only_draining_binds) s.open = false;
      }
    }
    for (const EndpointEntry& e : news.entries) TakeEntry(e, news.kind == EndpointListKind::kCached);
    for (auto& [number, g] : groups) FindPrimary(g);
    most_open = std::max<std::size_t>(most_open, std::count_if(servers.begin(), servers.end(),
                                                               [](const auto& e) { return e.second.open; }));
    PumpAll();
  }
  void TakeEntry(const EndpointEntry& e, bool cached) {
    if (e.state == ServerState::kGone && !servers.contains(e.server)) return;
    Server& s = servers[e.server];
    const bool fresh = s.group == kUnknown;
    if (fresh) {
      s.known_since = now;
      s.id = e.server;
      s.group = e.group;
      s.zone = e.zone;
      groups[e.group].members.push_back(e.server);
    }
    const bool was_open = s.open;
    if (e.state == ServerState::kDraining) s.open = false;
    if (e.state == ServerState::kGone) s.open = s.open && settings.only_draining_binds;
    if (e.state == ServerState::kReady) s.open = true;
    if (e.boot_time > s.boot) {
      s.boot = e.boot_time;
      StartedAnew(s, std::max(s.cold_since, e.boot_time));
    } else if (fresh && !cached && e.boot_time == 0) {
      s.cold_since = now;
    }
    if (e.listed_primary && !s.listed_primary && settings.listed_role == ListedRole::kDelayed && !fresh)
      AskServer(s, 0);
    s.listed_primary = e.listed_primary && settings.listed_role != ListedRole::kNever;
    if (s.open && !was_open && !cached) AskServer(s, 0);
  }
  // A subscription lost without a word would leave the list to age: ask anew within the rule's time.
  void KeepList() {
    if (!settings.poll_endpoint_list || now < next_ask) return;
    Do(WatchEndpointList{true});
    const Micros patience = settings.max_list_age > 0 ? settings.max_list_age / 2 : longest_deadline;
    next_ask = now + std::max(patience, settings.clock_resolution);
  }

  // ---- Health --------------------------------------------------------------------------------------------

  // A failed trial makes it suspect anew: the next one, too, needs a probe that came back since.
  void Suspect(Server& s, bool unreachable) {
    s.unreachable = s.unreachable || unreachable;
    if (s.suspect && now < s.next_try) return;
    if (!s.suspect) s.suspect_from = now;
    s.suspect = true;
    s.suspect_since = now;
    BackOff(s);
    AskServer(s, 0);
  }
  // Nothing goes there for a while, longer each time until it answers; drawn, so that gateways that were
  // turned away together do not come back together.
  void BackOff(Server& s) {
    const double longer = kTrialBackoff * static_cast<double>(s.back_off);
    s.back_off = std::clamp(static_cast<Micros>(longer), check_gap, std::max(check_gap, longest_aim));
    s.next_try = now + static_cast<Micros>((0.5 + Chance()) * static_cast<double>(s.back_off));
  }
  void Trust(Server& s) {
    s.last_answer = now;
    s.back_off = 0;
    if (!s.suspect) return;
    // A server out of reach for as long as a fall takes may have been started anew before the list says so.
    if (s.unreachable && now - s.suspect_from > settings.overload_window) StartedAnew(s, now);
    s.suspect = s.unreachable = false;
  }
  // What was learned of the process before says nothing of this one: it would be passed over until that
  // fades.
  void StartedAnew(Server& s, Micros when) {
    s.cold_since = when;
    s.slowness = s.rate = 1;
    s.failing = s.queued = 0;
    s.back_off = s.next_try = 0;
    s.limit = kNoLimit;
    if (when > s.suspect_since) s.suspect = s.unreachable = false;
  }
  // One request at a time tries a suspect, and only when a probe has come back.
  bool MayTry(const Server& s) const {
    const auto trial = [&](const Flight& f) { return f.sent >= s.suspect_since && !f.cancelled; };
    const bool probed = !settings.health_checks_allowed || s.probe_done >= s.suspect_since;
    return !s.suspect || (probed && std::none_of(s.flights.begin(), s.flights.end(), trial));
  }

  // ---- Probes --------------------------------------------------------------------------------------------

  void AskServer(Server& s, Micros gap) {
    if (!settings.health_checks_allowed || s.probing || !s.open) return;
    if (gap > 0 && s.probe_sent != kUnknown && now - s.probe_sent < std::max(gap, s.probe_gap)) return;
    if (probe_budget < 1) return;
    probe_budget -= 1;
    s.probing = true;
    s.probe_sent = now;
    Do(CheckHealth{s.id});
  }
  void On(const HealthCheckEnded& e) {
    Server* s = Find(e.server);
    if (!s) return;
    s->probing = false;
    if (e.status == Status::kOk) {
      s->probe_done = now;
      const Micros before = s->position;
      HearReport(*s, e.report);
      // A probe that showed nothing new makes the next one wait longer: reports are refreshed now and then.
      const Micros longer = std::min(kChecksPerAim * check_gap, 2 * std::max(s->probe_gap, check_gap));
      s->probe_gap = s->position > before ? check_gap : longer;
    } else if (e.status != Status::kOverloaded) {
      Suspect(*s, true);
    }
    Pump(s->group);
  }

  // ---- Warmth --------------------------------------------------------------------------------------------

  double Warmth(const Server& s) const { return limits::Warmth(settings, s.cold_since, now); }
  // What a warm member finishes for this router, or last did where none is left: servers may be replaced
  // faster than they get warm. A primary's few writes say little of what another can bear. They finish less
  // where they are crowded or fail, and can do no less for it: what was seen fades over a warm-up.
  void LearnWarmRate(Group& g) {
    double sum = 0;
    int count = 0;
    for (const ServerId id : g.members) {
      const Server& s = servers[id];
      if (!s.open || Warmth(s) < 1 || (g.has_primary && id == g.primary)) continue;
      sum += WorkRate(s);
      ++count;
    }
    const double kept = g.warm_rate * (1 - Ratio(static_cast<double>(check_gap), WorkSpan()));
    if (count > 0) g.warm_rate = std::max(kept, sum / count);
  }
  bool ColdAllows(Server& s, int class_index) {
    const double warmth = Warmth(s);
    const double parts = NeedsPrimary(ClassOf(class_index)) ? kOnlyPlace : 1;
    const double even = parts * limits::EvenRate(settings, most_open);
    return warmth >= 1 ||
           s.cold_budget.Allows(settings, now, Usual(class_index), {warmth, groups[s.group].warm_rate, even},
                                [this] { return Chance(); });
  }

  // ---- Arrival -------------------------------------------------------------------------------------------

  void On(const RequestArrived& e) {
    const bool known_class =
        e.class_index >= 0 && static_cast<std::size_t>(e.class_index) < settings.classes.size();
    // No server was ever listed in that group; remembering it would let clients fill the memory.
    if (!known_class || !groups.contains(e.group)) return Do(Reject{e.id, 0});
    Request r{.id = e.id, .class_index = e.class_index, .group = e.group, .key = e.key, .arrived = now};
    r.deadline = now + std::max<Micros>(e.remaining, 0);
    const ClassSettings& c = ClassOf(r.class_index);
    const bool late =
        first_tries[static_cast<std::size_t>(r.class_index)].IsLate(e.remaining, c.latency_objective);
    r.earns = c.priority_weight * (late ? c.late_weight : 1);
    if (c.freshness == Freshness::kSession) {
      if (settings.token_mode == TokenMode::kCarried) {
        if (e.ms_since_write > 0) {
          const auto ago = static_cast<float>(e.ms_since_write);
          const double below = std::min(static_cast<double>(std::nextafter(ago, 0.0F)) * 1e3, 1e15);
          r.token = Position(now) - static_cast<Micros>(below);
        }
      } else {
        r.token = sessions_known ? commits.Needed(e.key, e.group) : Position(now);
      }
    }
    resends = std::min(burst, resends + kResendShare);
    probe_budget = std::min(burst, probe_budget + kProbeShare);
    Request& kept = requests[e.id] = r;
    Do(SetTimer{std::max<Micros>(e.remaining, 0), e.id});
    Route(kept);
  }

  // ---- Choosing ------------------------------------------------------------------------------------------

  // The position that the read needs now; unknown: none.
  Micros Needed(const Request& r) const {
    const ClassSettings& c = ClassOf(r.class_index);
    if (c.freshness == Freshness::kSession) return r.token;
    if (c.freshness == Freshness::kBounded) return Position(now) - c.staleness_bound;
    return kUnknown;
  }
  // An apply rate that nothing has confirmed for a while fades to one: else a replica once seen standing
  // still would get no read, and so show nothing, for ever.
  double Rate(const Server& s) const { return std::max(kLeastRate, 1 + (s.rate - 1) * Fresh(s.rate_time)); }
  // Nothing has shown its position, and it checks by itself: a read may go there as its own probe.
  bool Unshown(const Server& s) const {
    return s.position == kUnknown && settings.staleness_guard != StalenessGuard::kOff;
  }
  // What is left of it: a position shown a while ago has moved on since, as far as its rate tells.
  double PredictedWait(const Server& s, Micros needed) const {
    if (needed <= s.position || needed == kUnknown || Unshown(s)) return 0;
    const double whole = static_cast<double>(needed - s.position) / Rate(s);
    return std::max(0.0, whole - static_cast<double>(now - s.position_time));
  }
  // How far behind it was when it showed its position: what it did since is not held against it.
  Micros ShownLag(const Server& s) const {
    return s.position == kUnknown ? 0 : Position(s.position_time) - s.position;
  }
  // Whether the read may be sent there now. Where the server itself holds or turns away what it is too far
  // behind for, the prediction is enough; one read at a time goes ahead of what was shown, as its own probe.
  bool Ready(const Server& s, Micros needed) const {
    if (needed == kUnknown || s.position >= needed) return true;
    if (settings.staleness_guard == StalenessGuard::kOff) return false;
    if (PredictedWait(s, needed) > static_cast<double>(settings.catch_up_wait)) return false;
    return (settings.staleness_guard == StalenessGuard::kWait && !Unshown(s)) ||
           std::none_of(s.flights.begin(), s.flights.end(), [](const Flight& f) { return f.scout; });
  }
  bool Admits(Server& s, const Request& r) {
    const bool room = static_cast<double>(s.flights.size()) < s.limit;
    return s.open && s.next_try <= now && MayTry(s) && room && ColdAllows(s, r.class_index);
  }
  bool Usable(Server& s, const Request& r) {
    const auto& bad = r.failed_at;
    return std::find(bad.begin(), bad.end(), s.id) == bad.end() && Admits(s, r);
  }
  // What it costs beyond the work to send there: a connection where none is likely to be open any more, and
  // the way to another zone. So a router of hundreds keeps to few servers, and knows these better.
  double Way(const Server& s, int class_index) const {
    const bool linked = s.last_answer != kUnknown && Faded(s.last_answer) > kLinked;
    const bool far = settings.cross_zone_cost > 0 && s.zone != settings.zone;
    return kWayShare * Usual(class_index) * ((linked ? 0 : 1) + (far ? 1 : 0));
  }
  // The lowest sum of own load, own smoothed time, the way, predicted wait and what is left of a reported
  // queue.
  Server* ChooseReplica(const Request& r) {
    Group& g = groups[r.group];
    const Micros needed = Needed(r);
    Server* best = nullptr;
    Server* stalest = nullptr;
    double best_score = 0;
    int ties = 0;
    for (const ServerId id : g.members) {
      Server& s = servers[id];
      if ((g.has_primary && g.primary == id) || !Usable(s, r)) continue;
      if (needed != kUnknown && s.position == kUnknown && !Ready(s, needed)) continue;
      const double others = OthersLoad(s, r.class_index);
      const double tries = 1 / (1 - std::min(Failing(s), kMostFailing));  // that it takes there on average
      double score = Load(s) + tries * Expected(s, r.class_index) + PredictedWait(s, needed) + others;
      // A queue that leaves no time: hung, crowded or returning, none of it is served in time.
      if (others > 0 && others > static_cast<double>(LastUseful(r) - now)) continue;
      // Stale: too old for the tightest bound that a class has.
      if (needed == kUnknown && ShownLag(s) > tightest_bound &&
          score <= kSpareAim * static_cast<double>(ClassOf(r.class_index).latency_objective) &&
          (!stalest || ShownLag(s) > ShownLag(*stalest))) {
        stalest = &s;
      }
      score += Way(s, r.class_index);
      if (best && score == best_score) {
        if (Draw() % static_cast<std::uint64_t>(++ties) == 0) best = &s;
      } else if (!best || score < best_score) {
        best = &s;
        best_score = score;
        ties = 1;
      }
    }
    // Fresh replicas are scarce once some lag, and a long read may hold up the applying where it runs: a read
    // that needs no position goes where no other read could, while that is quick enough. It holds against
    // blocking queries, slow applying and old copies; it hurts when the stalest is the busiest for others.
    return stalest ? stalest : best;
  }
  Server* ChoosePrimary(const Request& r) {
    const Group& g = groups[r.group];
    Server* s = g.has_primary ? Find(g.primary) : nullptr;
    return s && Admits(*s, r) ? s : nullptr;
  }

  // Where nobody can be asked, a write finds its primary by itself: one that a replica turns away has not
  // run, and the answer tells the role. Tried are members whose role nothing has told for an aim, the longest
  // unheard first.
  Server* GuessPrimary(const Request& r) {
    Server* best = nullptr;
    int ties = 0;
    for (const ServerId id : groups[r.group].members) {
      Server& s = servers[id];
      const bool heard = s.role_time != kUnknown && now - s.role_time < longest_aim;
      if (heard || !Admits(s, r) || (best && s.role_time > best->role_time)) continue;
      ties = best && s.role_time == best->role_time ? ties + 1 : 1;
      if (Draw() % static_cast<std::uint64_t>(ties) == 0) best = &s;
    }
    return best;
  }

  // ---- Routing and waiting -------------------------------------------------------------------------------

  bool MaySend(const Request& r) const {
    if (settings.max_attempts > 0 && r.sends >= settings.max_attempts) return false;
    const ClassSettings& c = ClassOf(r.class_index);
    if (!r.maybe_ran) return true;
    if (c.idempotency == Idempotency::kNone) return false;
    if (c.idempotency == Idempotency::kWithKey) {
      return r.first_maybe != kUnknown &&
             now + 2 * settings.clock_resolution - r.first_maybe < c.retry_window;
    }
    return true;
  }
  // The moment after which going on holding it earns nothing: unsent by half its time, it is better told to
  // return.
  Micros LastUseful(const Request& r) const {
    const ClassSettings& c = ClassOf(r.class_index);
    const auto own = static_cast<Micros>(Usual(r.class_index));
    const Micros end = c.late_weight > 0 ? r.deadline : std::min(r.deadline, r.arrived + c.latency_objective);
    const Micros last = end - std::min(own, (end - r.arrived) / 2);
    return r.sends > 0 ? last : std::min(last, (r.arrived + r.deadline) / 2 - check_gap);
  }
  // Sends the request, holds it or gives it up.
  void Route(Request& r) {
    if (now >= LastUseful(r) || !MaySend(r)) return GiveUp(r);
    const ClassSettings& c = ClassOf(r.class_index);
    if (NeedsPrimary(c)) {
      if (Server* s = ChoosePrimary(r)) return SendTo(r, *s);
      if (const Server* s = Find(groups[r.group].primary); s && s->open && MayTry(*s) && s->next_try <= now)
        return Hold(r);  // known and sound, it only has no room yet: nobody else can take it
      const bool asked = SearchPrimary(r.group);
      Server* guess = asked || c.freshness != Freshness::kWrite ? nullptr : GuessPrimary(r);
      return guess ? SendTo(r, *guess) : Hold(r);
    }
    if (!r.admitted) r.shed = groups[r.group].crowding.TurnsAway(now, FadeSpan(), r.earns, Chance());
    r.admitted = true;
    if (r.shed && c.freshness == Freshness::kBounded && !ShownToAny(r)) return GiveUp(r);
    if (r.shed) return UseSpareRoom(r);
    Server* s = r.choice ? Find(*r.choice) : nullptr;
    if (!s || now >= r.rescore_at || !Usable(*s, r)) s = ChooseReplica(r);
    if (!s) {
      if (Server* alone = NoReplicaLeft(r) ? ChoosePrimary(r) : nullptr) return SendTo(r, *alone);
      r.failed_at.clear();
      for (const ServerId id : groups[r.group].members) {
        if (servers[id].position == kUnknown) AskServer(servers[id], check_gap);
      }
      r.choice.reset();
      return Hold(r);
    }
    if (Look(r, *s)) return;
    const Micros needed = Needed(r);
    if (Ready(*s, needed)) return SendTo(r, *s);
    // No replica can have it in time, as far as predicted: the best one is asked all the same, and when that
    // turns it away the read may use spare room at the primary, never before. A session read does so too
    // where servers check nothing, once a replica has shown since its arrival that it is too far behind.
    if (PredictedWait(*s, needed) > static_cast<double>(LastUseful(r) - now)) {
      const bool shown = c.freshness == Freshness::kSession && s->position_time > r.arrived;
      if (r.turned_away || (settings.staleness_guard == StalenessGuard::kOff && shown))
        return UseSpareRoom(r);
      if (settings.staleness_guard != StalenessGuard::kOff && probe_budget >= 1) {
        probe_budget -= 1;
        return SendTo(r, *s);
      }
    }
    if (r.choice != s->id || now >= r.rescore_at) {
      r.rescore_at = now + std::max(check_gap, static_cast<Micros>(PredictedWait(*s, needed)));
    }
    r.choice = s->id;
    AskServer(*s, check_gap);
    Hold(r);
  }
  // A replica showed the bound within a deadline: the read is shed for crowding then, not for lag.
  bool ShownToAny(const Request& r) {
    const Group& g = groups[r.group];
    const Micros oldest = Position(now - longest_deadline) - ClassOf(r.class_index).staleness_bound;
    return std::any_of(g.members.begin(), g.members.end(),
                       [&](ServerId id) { return id != g.primary && servers[id].position >= oldest; });
  }
  // A read that would else be refused may use spare room at the primary.
  void UseSpareRoom(Request& r) {
    const Group& g = groups[r.group];
    const bool drawn = r.looks > 0 && r.looking == g.primary;
    Server* s = drawn || Chance() < g.spare.Share(now, FadeSpan(), settings.router_count) ? ChoosePrimary(r)
                                                                                          : nullptr;
    if (s && Look(r, *s)) return;
    if (!s || Warmth(*s) < 1 || OthersLoad(*s, r.class_index) > 0) return GiveUp(r);
    SendTo(r, *s);
  }
  // Where answers of the group were late, or it had a queue when last heard of, a server that reports its
  // queue is asked for it before a read is sent there. True while that is awaited.
  bool Look(Request& r, Server& s) {
    const bool awaited = now < r.look_until && servers[r.looking].probing;
    const bool calm = groups[r.group].crowding.Admitted(now, FadeSpan()) >= 1 && s.queued < 1;
    const bool fresh = static_cast<double>(now - s.queue_time) <= Expected(s, r.class_index);
    const bool can = queue_field != kUnknown && settings.health_checks_allowed && r.looks < kLooks;
    if (!awaited && (!can || calm || fresh)) return false;
    if (!awaited) {
      ++r.looks;
      r.looking = s.id;
      r.look_until = now + check_gap;
      AskServer(s, 0);
    }
    Hold(r);
    return true;
  }
  // No replica of the group could ever serve: the primary is all there is.
  bool NoReplicaLeft(const Request& r) {
    const Group& g = groups[r.group];
    return std::none_of(g.members.begin(), g.members.end(), [&](ServerId id) {
      return servers[id].open && !servers[id].suspect && !(g.has_primary && g.primary == id);
    });
  }
  void Hold(Request& r) {
    if (!r.held) groups[r.group].held.push_back(r.id);
    r.held = true;
  }
  // False: none of them can be asked for now.
  bool SearchPrimary(int group) {
    bool asked = false;
    for (const ServerId id : groups[group].members) {
      AskServer(servers[id], 2 * check_gap);
      asked = asked || servers[id].probing;
    }
    return asked;
  }
  void Pump(int group) {
    Group& g = groups[group];
    if (g.held.empty()) return;
    std::vector<RequestId> waiting;
    waiting.swap(g.held);
    // Newest first: in a crowd the newest can still be in time, the oldest only just miss it.
    for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
      Request* r = FindRequest(*it);
      if (!r || !r->held) continue;
      r->held = false;
      Route(*r);
    }
    std::reverse(g.held.begin(), g.held.end());
  }
  void PumpAll() {
    for (auto& [number, g] : groups) Pump(number);
  }

  // ---- Sending -------------------------------------------------------------------------------------------

  void SendTo(Request& r, Server& s) {
    const ClassSettings& c = ClassOf(r.class_index);
    if (Warmth(s) < 1) s.cold_budget.Sent(now, Usual(r.class_index));
    if (s.suspect) BackOff(s);
    s.flights.push_back({r.id, r.sends, r.class_index, r.key, now, false, Needed(r) > s.position});
    if (!r.maybe_ran && r.out == 0) r.first_maybe = now;
    ++r.sends;
    ++r.out;
    r.held = false;
    r.choice.reset();
    const bool to_aim = c.idempotency == Idempotency::kIdempotent && c.late_weight <= 0;
    const Micros end = to_aim ? std::min(r.deadline, r.arrived + c.latency_objective) : r.deadline;
    Do(Send{r.id, s.id, std::max<Micros>(end - now, 1)});
  }
  void CallOff(RequestId id) {
    if (!settings.cancel_allowed) return;
    for (auto& [number, s] : servers) {
      for (Flight& f : s.flights) {
        if (f.id != id || f.cancelled) continue;
        f.cancelled = true;
        Do(Cancel{f.id, f.attempt});
      }
    }
  }

  // ---- Outcomes ------------------------------------------------------------------------------------------

  static bool NeverRan(Status status) {
    return status == Status::kOverloaded || status == Status::kConnectFailed || status == Status::kNotSent ||
           status == Status::kStaleOrWrongRole;
  }
  void On(const AttemptEnded& e) {
    Server* s = Find(e.server);
    Micros sent = now - e.elapsed;
    if (s) {
      const auto it = std::find_if(s->flights.begin(), s->flights.end(),
                                   [&](const Flight& f) { return f.id == e.id && f.attempt == e.attempt; });
      if (it != s->flights.end()) {
        sent = it->sent;
        const Flight flight = *it;
        s->flights.erase(it);
        LearnOutcome(*s, flight, e);
      }
    }
    if (Request* r = FindRequest(e.id)) {
      r->out = std::max(0, r->out - 1);
      if (!e.request_ended) AfterFailure(*r, e, sent);
      if (e.request_ended) requests.erase(e.id);
    }
    if (s) Pump(s->group);
  }
  void LearnOutcome(Server& s, const Flight& flight, const AttemptEnded& e) {
    const int c = flight.class_index;
    const Status status = e.status;
    const bool ok = status == Status::kOk;
    const bool late =
        static_cast<double>(e.elapsed) > kCrowdedAim * static_cast<double>(ClassOf(c).latency_objective);
    if (ok || status == Status::kStaleOrWrongRole || status == Status::kError) Trust(s);
    // A refused connection may only mean that the server has all it takes: a probe tells whether it is down.
    if (status == Status::kConnectFailed) AskServer(s, 0);
    const bool failed = status == Status::kError || status == Status::kReset;
    if (failed || ok || status == Status::kStaleOrWrongRole) CountOutcome(s, failed);
    // A process that died fails all that was out there, and the probe as well.
    if (status == Status::kReset && Failing(s) >= kFailingShare) Suspect(s, true);
    if (status == Status::kReset) AskServer(s, 0);
    if (status == Status::kTimeout && late && s.last_answer < flight.sent) Suspect(s, false);
    if (status == Status::kTimeout) Learn(s, c, std::max(e.elapsed, static_cast<Micros>(Expected(s, c))));
    if (ok) Learn(s, c, e.elapsed);
    if (ok) CountWork(s, c);
    if (status == Status::kOverloaded || status == Status::kConnectFailed) BackOff(s);
    // A short time-out is the client's or the wait's, no sign of the server.
    const bool in_time = ok && !late;
    const bool crowd = status == Status::kOverloaded || (late && (ok || status == Status::kTimeout));
    if (crowd) Crowded(s);
    if (in_time) s.limit += 1 / std::max(s.limit, 1.0);
    Group& g = groups[s.group];
    if (g.primary == s.id) {
      const bool quick = ok && static_cast<double>(e.elapsed) < kSpareTimes * Usual(c);
      g.spare.Answered(now, FadeSpan(), settings.router_count, quick, crowd || (ok && !quick));
    } else if (in_time || crowd) {
      g.crowding.Answered(now, FadeSpan(), check_gap, in_time);
    }
    const bool write = ClassOf(c).freshness == Freshness::kWrite;
    if (e.role != Role::kUnknown) HearRole(s, e.role, now);
    if (status == Status::kStaleOrWrongRole && write && e.role != Role::kPrimary)
      HearRole(s, Role::kReplica, now);
    const bool commit = write && ok;
    if (commit) NoteCommit(s, flight, e);
    if (e.position_ms && !commit && e.role != Role::kPrimary) ShowPosition(s, *e.position_ms * 1000, true);
    HearReport(s, e.report);
  }
  // Kept by attempt, not by request: a write that goes through after its request ended is seen all the same.
  void NoteCommit(const Server& s, const Flight& flight, const AttemptEnded& e) {
    if (settings.token_mode != TokenMode::kRemembered || flight.key == 0) return;
    // A commit that is not told is taken as now: rounding up is safe.
    const Micros commit = e.position_ms ? *e.position_ms * 1000 : Position(now);
    commits.Note(flight.key, s.group, commit);
  }
  // To the rules all processes of a router are one: what any of them was told, each must keep to.
  void On(const SessionCommit& e) { commits.Note(e.key, e.group, e.position_ms * 1000); }
  void On(const ServerObservation& e) {
    Server* s = Find(e.server);
    if (!s) return;
    HearRole(*s, e.role, e.role_time);
    if (e.role != Role::kPrimary && e.position_ms > 0) ShowPosition(*s, e.position_ms * 1000, true);
  }
  void On(const SessionSync& e) {
    sessions_known = e.complete;
    for (const auto& [number, g] : groups) {
      if (e.lost) commits.RaiseFloor(number, Position(now));
    }
  }
  void AfterFailure(Request& r, const AttemptEnded& e, Micros sent) {
    const bool never_ran = NeverRan(e.status);
    if (!never_ran) {
      if (!r.maybe_ran) r.first_maybe = std::min(r.first_maybe == kUnknown ? sent : r.first_maybe, sent);
      r.maybe_ran = true;
    }
    if (r.out > 0) return;
    if (e.status == Status::kNotSent || now >= LastUseful(r) || !MaySend(r)) return GiveUp(r);
    // A turned-away attempt costs its server too: without a budget, ten tries each keep a full fleet full.
    if (!never_ran || e.status == Status::kOverloaded || e.status == Status::kConnectFailed) {
      const double cost = e.status == Status::kError || e.status == Status::kReset ? kFailureCost : 1;
      if (resends < cost) return GiveUp(r);
      resends -= cost;
    }
    const bool read = !NeedsPrimary(ClassOf(r.class_index)), miss = e.status == Status::kStaleOrWrongRole;
    if (miss) r.turned_away = true;
    if (read && miss && ++r.misses >= kLooks) return UseSpareRoom(r);
    if (read && !miss) r.failed_at.push_back(e.server);
    Route(r);
  }

  // ---- Giving up -----------------------------------------------------------------------------------------

  void GiveUp(Request& r) {
    const ClassSettings& c = ClassOf(r.class_index);
    const bool harmless = (!r.maybe_ran && r.out == 0) || c.idempotency == Idempotency::kIdempotent ||
                          (c.idempotency == Idempotency::kWithKey && c.retry_scope == RetryScope::kAll);
    if (harmless) {
      Do(Reject{r.id, settings.retry_after ? settings.max_retry_after : 0});
    } else {
      Do(Fail{r.id});
    }
    if (r.out > 0) CallOff(r.id);
    requests.erase(r.id);
  }
  void On(const RequestCancelled& e) {
    const Request* r = FindRequest(e.id);
    if (r && r->out > 0 && ClassOf(r->class_index).idempotency == Idempotency::kIdempotent) CallOff(e.id);
    requests.erase(e.id);
  }

  // ---- Housekeeping --------------------------------------------------------------------------------------

  void On(const TimerFired& e) {
    if (e.token == kHousekeeping) return Housekeep();
    // Its time is over: its client's, or, earlier, that of a router which is to end.
    if (Request* r = FindRequest(e.token)) GiveUp(*r);
  }
  void Housekeep() {
    housekeeping_set = false;
    KeepList();
    for (auto& [id, s] : servers) {
      if (s.open) s.listed = now;
      if (s.suspect && now >= s.next_try) AskServer(s, s.back_off);
    }
    ForgetServers();
    for (auto& [number, g] : groups) LearnWarmRate(g);
    PumpAll();
    commits.Forget(Position(now) - kTokenSpans * std::max(settings.slow_start_window, longest_deadline));
  }
  // Servers are replaced by others under new ids for ever: one that is gone, with nothing out, leaves no
  // trace.
  void ForgetServers() {
    const auto gone = [&](const auto& entry) {
      const Server& s = entry.second;
      return !s.open && !s.probing && s.flights.empty() &&
             now - s.listed > kForgetDeadlines * longest_deadline;
    };
    for (auto& [number, g] : groups) {
      const auto left = [&](ServerId id) {
        return gone(std::pair<ServerId, const Server&>(id, servers[id]));
      };
      if (std::erase_if(g.members, left) > 0) FindPrimary(g);
    }
    std::erase_if(servers, gone);
  }
  void On(const ResponseStarted&) {}  // the client's from then on: its outcome ends it
  void On(const PeerMessage&) {}

  void Handle(Micros clock, const Event& event, std::vector<Action>& out) {
    now = std::max(now, clock);
    actions = &out;
    std::visit([&](const auto& e) { On(e); }, event);
    if (!housekeeping_set) {
      housekeeping_set = true;
      Do(SetTimer{check_gap, kHousekeeping});
    }
    actions = nullptr;
  }
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : state_(std::make_unique<State>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  state_->Handle(now, event, actions);
}
bool Router::avoids(Micros now, ServerId server) const {
  const Server* s = state_->Find(server);
  return s && (!s->open || s->suspect || now < s->next_try);
}
std::vector<SessionCommit> Router::known_commits(std::uint64_t key) const {
  return state_->commits.Known(key);
}
ServerObservation Router::observation(ServerId server) const {
  const Server* s = state_->Find(server);
  return s ? ServerObservation{server, s->role, s->role_time, s->position / 1000} : ServerObservation{server};
}

}  // namespace tulipyoke
