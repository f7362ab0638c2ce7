#include "src/config/settings.hpp"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/config/choice.hpp"

namespace tulipyoke {
namespace {

constexpr std::int64_t kMaxListItems = 4096;
// Larger numbers are not converted to integers, since they would overflow.
constexpr double kMaxInteger = 9e18;

// These functions parse single values. `path` is only used in errors.
double ParseNumber(const std::string& path, std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw SettingsError(SettingsFault::kInvalidNumber, path, std::string(text));
  }
  return value;
}

std::int64_t ParseInteger(const std::string& path, std::string_view text) {
  const double value = ParseNumber(path, text);
  const bool in_range = value > -kMaxInteger && value < kMaxInteger;  // false for NaN
  if (!in_range) throw SettingsError(SettingsFault::kInvalidNumber, path, std::string(text));
  return static_cast<std::int64_t>(value);
}

template <typename T>
T ParseChoice(const std::string& path, std::string_view text, std::initializer_list<Choice<T>> choices) {
  for (const Choice<T>& choice : choices) {
    if (choice.name == text) return choice.value;
  }
  throw SettingsError(SettingsFault::kUnknownValue, path, std::string(text));
}

Freshness ParseFreshness(const std::string& path, std::string_view text) {
  return ParseChoice<Freshness>(path, text,
                                {{"loose", Freshness::kAny},
                                 {"recent", Freshness::kBounded},
                                 {"own_writes", Freshness::kSession},
                                 {"latest", Freshness::kFresh},
                                 {"update", Freshness::kWrite}});
}

// Reads typed values from the table. A missing or empty setting has its default value.
class TableReader {
 public:
  explicit TableReader(const SettingsTable& table) : table_(table) {}

  std::string_view Text(const std::string& path) const {
    const auto it = table_.find(path);
    return it == table_.end() ? std::string_view() : std::string_view(it->second);
  }
  double Number(const std::string& path, double default_value = 0) const {
    const std::string_view text = Text(path);
    return text.empty() ? default_value : ParseNumber(path, text);
  }
  std::int64_t Integer(const std::string& path) const {
    const std::string_view text = Text(path);
    return text.empty() ? 0 : ParseInteger(path, text);
  }
  std::int64_t Count(const std::string& path) const {
    const std::int64_t count = Integer(path);
    if (count < 0 || count > kMaxListItems) {
      throw SettingsError(SettingsFault::kInvalidNumber, path, std::string(Text(path)));
    }
    return count;
  }
  bool Flag(const std::string& path) const {
    return ChoiceValue<bool>(path, {{"false", false}, {"true", true}});
  }
  // The first choice is the default.
  template <typename T>
  T ChoiceValue(const std::string& path, std::initializer_list<Choice<T>> choices) const {
    const std::string_view text = Text(path);
    return text.empty() ? choices.begin()->value : ParseChoice<T>(path, text, choices);
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
  const SettingsTable& table_;
};

ClassSettings ReadClass(const TableReader& reader, const std::string& path) {
  ClassSettings result;
  result.name = reader.Text(path + "name");
  result.latency_objective = reader.Integer(path + "aim");
  result.deadline = reader.Integer(path + "deadline");
  result.priority_weight = reader.Number(path + "worth");
  result.late_weight = reader.Number(path + "late_worth");
  result.idempotency =
      reader.ChoiceValue<Idempotency>(path + "semantics", {{"free", Idempotency::kIdempotent},
                                                           {"guarded", Idempotency::kWithKey},
                                                           {"single_shot", Idempotency::kNone}});
  result.retry_scope = reader.ChoiceValue<RetryScope>(
      path + "group", {{"all", RetryScope::kAll}, {"zone", RetryScope::kZone}, {"cell", RetryScope::kCell}});
  result.retry_window = reader.Integer(path + "window");
  result.streaming = reader.Flag(path + "stream");
  return result;
}

void ReadClasses(const TableReader& reader, Settings& settings) {
  const std::string freshness_path = "domain.freshness";
  const std::string bound_path = "domain.lag_allowed";
  const std::vector<std::string> freshness = reader.List(freshness_path);
  const std::vector<std::string> bounds = reader.List(bound_path);
  const auto count = static_cast<std::size_t>(reader.Count("services.count"));
  for (std::size_t i = 0; i < count; ++i) {
    ClassSettings result = ReadClass(reader, "services." + std::to_string(i) + ".");
    if (i < freshness.size()) result.freshness = ParseFreshness(freshness_path, freshness[i]);
    if (i < bounds.size()) result.staleness_bound = ParseInteger(bound_path, bounds[i]);
    settings.classes.push_back(std::move(result));
  }
}

void ReadTenants(const TableReader& reader, Settings& settings) {
  const std::int64_t count = reader.Count("realms.count");
  for (std::int64_t i = 0; i < count; ++i) {
    const std::string path = "realms." + std::to_string(i) + ".";
    settings.tenants.push_back({std::string(reader.Text(path + "name")), reader.Number(path + "quota_per_s"),
                                reader.Number(path + "fraction")});
  }
}

void ReadConsistency(const TableReader& reader, Settings& settings) {
  settings.staleness_guard = reader.ChoiceValue<StalenessGuard>(
      "domain.guards",
      {{"off", StalenessGuard::kOff}, {"reject", StalenessGuard::kReject}, {"hold", StalenessGuard::kWait}});
  settings.catch_up_wait = reader.Integer("domain.catch_up_wait");
  settings.token_mode = reader.ChoiceValue<TokenMode>(
      "domain.token_mode", {{"router", TokenMode::kStoredByRouter}, {"client", TokenMode::kSentByClient}});
  settings.listed_role = reader.ChoiceValue<ListedRole>(
      "domain.role_listed",
      {{"off", ListedRole::kNever}, {"initial", ListedRole::kInitial}, {"delayed", ListedRole::kDelayed}});
  settings.position_epoch = reader.Integer("domain.origin_time");
}

void ReadReports(const TableReader& reader, Settings& settings) {
  settings.poll_endpoint_list = reader.ChoiceValue<bool>("discovery", {{"push", false}, {"ask", true}});
  settings.load_report_source =
      reader.ChoiceValue<LoadReportSource>("stats.via", {{"off", LoadReportSource::kOff},
                                                         {"inline", LoadReportSource::kResponses},
                                                         {"on_probe", LoadReportSource::kHealthChecks}});
  settings.report_fields = reader.List("stats.fields");
}

void ReadPolicyLimits(const TableReader& reader, Settings& settings) {
  settings.cancel_allowed = reader.Flag("policy_limits.cancel");
  settings.health_checks_allowed = reader.Flag("policy_limits.probes");
  settings.hedging_allowed = reader.Flag("policy_limits.second_copies");
  settings.retry_after = reader.Flag("policy_limits.retry_after");
  settings.max_retry_after = reader.Integer("policy_limits.max_retry_after");
  settings.max_attempts = static_cast<int>(reader.Count("policy_limits.most_tries"));
}

void ReadRules(const TableReader& reader, Settings& settings) {
  settings.response_slack = reader.Integer("rules.answer_slack");
  settings.max_list_age = reader.Integer("rules.ask_within");
  settings.slow_start_fraction = reader.Number("rules.cold_from");
  settings.slow_start_window = reader.Integer("rules.warm_after");
  settings.overload_multiple = reader.Number("rules.tip_multiple");
  settings.overload_window = reader.Integer("rules.fall");
  settings.drain_timeout = reader.Integer("rules.drain_grace");
  settings.use_gone_servers = reader.Flag("rules.dropped_stay_open");
}

void ReadCosts(const TableReader& reader, Settings& settings) {
  settings.over_quota_weight = reader.Number("over_share_worth", 1);
  settings.health_check_cost = reader.Number("prices.probe");
  settings.cross_zone_cost = reader.Number("prices.cross_zone");
  settings.waste_cost = reader.Number("prices.waste");
}

void ReadDeployment(const TableReader& reader, Settings& settings) {
  settings.clock_resolution = reader.Integer("quantum");
  settings.router_count = static_cast<int>(reader.Count("n_instances"));
  settings.router_index = static_cast<int>(reader.Count("me"));
  settings.zone = static_cast<int>(reader.Count("zone"));
}

}  // namespace

std::string ToText(SettingsFault fault, const std::string& path, const std::string& value) {
  const bool unknown_value = fault == SettingsFault::kUnknownValue;
  const std::string problem = unknown_value ? " has an unknown value: " : " is not a valid number: ";
  return "setting " + path + problem + value;
}

// The error names the first invalid setting, so the order of reading determines which one.
Settings SettingsFromTable(const SettingsTable& table) {
  const TableReader reader(table);
  Settings settings;
  ReadClasses(reader, settings);
  ReadTenants(reader, settings);
  ReadConsistency(reader, settings);
  ReadReports(reader, settings);
  ReadPolicyLimits(reader, settings);
  ReadRules(reader, settings);
  ReadCosts(reader, settings);
  ReadDeployment(reader, settings);
  return settings;
}

}  // namespace tulipyoke
