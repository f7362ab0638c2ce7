#include "src/config/settings.hpp"

#include <charconv>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace tulipyoke {
namespace {

constexpr std::int64_t kMostListItems = 4096;

// Typed look-ups by path, with a message that names the path where its value cannot be.
class Table {
 public:
  explicit Table(const SettingsTable& pairs) : pairs_(pairs) {}

  std::string_view Text(const std::string& path) const {
    const auto it = pairs_.find(path);
    return it == pairs_.end() ? std::string_view() : std::string_view(it->second);
  }
  double Number(const std::string& path, double missing = 0) const {
    const std::string_view text = Text(path);
    return text.empty() ? missing : NumberOf(path, text);
  }
  std::int64_t Whole(const std::string& path) const {
    const std::string_view text = Text(path);
    return text.empty() ? 0 : WholeOf(path, text);
  }
  static double NumberOf(const std::string& path, std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) Wrong(path, text);
    return value;
  }
  static std::int64_t WholeOf(const std::string& path, std::string_view text) {
    const double value = NumberOf(path, text);
    if (!(value > -9e18 && value < 9e18)) Wrong(path, text);
    return static_cast<std::int64_t>(value);
  }
  std::int64_t Count(const std::string& path) const {
    const std::int64_t count = Whole(path);
    if (count < 0 || count > kMostListItems) Wrong(path, Text(path));
    return count;
  }
  bool Flag(const std::string& path) const { return Word<bool>(path, {{"false", false}, {"true", true}}); }
  template <typename T>
  T Word(const std::string& path, std::initializer_list<std::pair<std::string_view, T>> words) const {
    const std::string_view text = Text(path);
    return text.empty() ? words.begin()->second : Choose(path, text, words);
  }
  template <typename T>
  static T Choose(const std::string& path, std::string_view text,
                  std::initializer_list<std::pair<std::string_view, T>> words) {
    for (const auto& [word, value] : words) {
      if (word == text) return value;
    }
    throw SettingsError("setting " + path + " has a value that is not known: " + std::string(text));
  }
  std::vector<std::string> List(const std::string& path) const {
    std::vector<std::string> items;
    std::string_view text = Text(path);
    while (!text.empty()) {
      const std::size_t end = text.find(',');
      items.emplace_back(text.substr(0, end));
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return items;
  }

 private:
  [[noreturn]] static void Wrong(const std::string& path, std::string_view text) {
    throw SettingsError("setting " + path + " is not a possible number: " + std::string(text));
  }
  const SettingsTable& pairs_;
};

ClassSettings ParseClass(const Table& pairs, const std::string& path) {
  ClassSettings result;
  result.name = pairs.Text(path + "name");
  result.aim = pairs.Whole(path + "aim");
  result.deadline = pairs.Whole(path + "deadline");
  result.worth = pairs.Number(path + "worth");
  result.late_worth = pairs.Number(path + "late_worth");
  result.effect = pairs.Word<Effect>(
      path + "semantics",
      {{"free", Effect::kSafe}, {"guarded", Effect::kKeyed}, {"single_shot", Effect::kUnsafe}});
  result.repeat_group = pairs.Word<RepeatGroup>(
      path + "group",
      {{"all", RepeatGroup::kAll}, {"zone", RepeatGroup::kZone}, {"cell", RepeatGroup::kCell}});
  result.repeat_window = pairs.Whole(path + "window");
  result.stream = pairs.Flag(path + "stream");
  return result;
}

Freshness ParseFreshness(std::string_view word) {
  return Table::Choose<Freshness>("domain.freshness", word,
                                  {{"loose", Freshness::kAny},
                                   {"recent", Freshness::kBounded},
                                   {"own_writes", Freshness::kSession},
                                   {"latest", Freshness::kFresh},
                                   {"update", Freshness::kWrite}});
}

}  // namespace

Settings SettingsFromTable(const SettingsTable& table) {
  const Table pairs(table);
  Settings s;
  const std::vector<std::string> freshness = pairs.List("domain.freshness");
  const std::vector<std::string> bounds = pairs.List("domain.lag_allowed");
  const std::int64_t classes = pairs.Count("services.count");
  for (std::int64_t i = 0; i < classes; ++i) {
    ClassSettings c = ParseClass(pairs, "services." + std::to_string(i) + ".");
    const auto at = static_cast<std::size_t>(i);
    if (at < freshness.size()) c.freshness = ParseFreshness(freshness[at]);
    if (at < bounds.size()) c.bound = Table::WholeOf("domain.lag_allowed", bounds[at]);
    s.classes.push_back(std::move(c));
  }
  const std::int64_t tenants = pairs.Count("realms.count");
  for (std::int64_t i = 0; i < tenants; ++i) {
    const std::string path = "realms." + std::to_string(i) + ".";
    s.tenants.push_back({std::string(pairs.Text(path + "name")), pairs.Number(path + "quota_per_s"),
                         pairs.Number(path + "fraction")});
  }
  s.guards = pairs.Word<Guards>(
      "domain.guards", {{"off", Guards::kOff}, {"reject", Guards::kRefuse}, {"hold", Guards::kHold}});
  s.catch_up_wait = pairs.Whole("domain.catch_up_wait");
  s.token_mode = pairs.Word<TokenMode>("domain.token_mode",
                                       {{"router", TokenMode::kRemembered}, {"client", TokenMode::kCarried}});
  s.listed_role = pairs.Word<ListedRole>(
      "domain.role_listed",
      {{"off", ListedRole::kNone}, {"initial", ListedRole::kStart}, {"delayed", ListedRole::kLate}});
  s.origin = pairs.Whole("domain.origin_time");
  s.ask_for_list = pairs.Word<bool>("discovery", {{"push", false}, {"ask", true}});
  s.reports = pairs.Word<ReportVia>(
      "stats.via",
      {{"off", ReportVia::kOff}, {"inline", ReportVia::kAnswers}, {"on_probe", ReportVia::kProbe}});
  s.report_fields = pairs.List("stats.fields");
  s.may_cancel = pairs.Flag("policy_limits.cancel");
  s.may_probe = pairs.Flag("policy_limits.probes");
  s.second_copies = pairs.Flag("policy_limits.second_copies");
  s.retry_after = pairs.Flag("policy_limits.retry_after");
  s.max_retry_after = pairs.Whole("policy_limits.max_retry_after");
  s.max_attempts = static_cast<int>(pairs.Count("policy_limits.most_tries"));
  s.answer_slack = pairs.Whole("rules.answer_slack");
  s.ask_within = pairs.Whole("rules.ask_within");
  s.cold_from = pairs.Number("rules.cold_from");
  s.warm_after = pairs.Whole("rules.warm_after");
  s.fall_multiple = pairs.Number("rules.tip_multiple");
  s.fall = pairs.Whole("rules.fall");
  s.drain_grace = pairs.Whole("rules.drain_grace");
  s.only_draining_binds = pairs.Flag("rules.dropped_stay_open");
  s.over_share_worth = pairs.Number("over_share_worth", 1);
  s.probe_price = pairs.Number("prices.probe");
  s.cross_zone_price = pairs.Number("prices.cross_zone");
  s.waste_price = pairs.Number("prices.waste");
  s.tick = pairs.Whole("quantum");
  s.gateways = static_cast<int>(pairs.Count("n_instances"));
  s.me = static_cast<int>(pairs.Count("me"));
  s.zone = static_cast<int>(pairs.Count("zone"));
  return s;
}

}  // namespace tulipyoke
