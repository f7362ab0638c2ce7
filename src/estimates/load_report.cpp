#include "src/estimates/load_report.hpp"

#include <cmath>

namespace tulipyoke::estimates {
namespace {

constexpr double kMissing = -1;
constexpr double kMaxRequests = 1e6;
constexpr double kMaxPositionSeconds = 1e12;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kPrimary = 1;
constexpr double kReplica = 0;

double ValueAt(const Report& report, const std::optional<std::size_t>& index) {
  return index && *index < report.size() ? report[*index] : kMissing;
}

}  // namespace

LoadReportReader::LoadReportReader(const Settings& settings) : rounded_floats_(settings.reports_are_floats) {
  for (std::size_t i = 0; i < settings.report_fields.size(); ++i) {
    const std::string& field = settings.report_fields[i];
    if (field == "x0") position_ = i;
    if (field == "x1") role_ = i;
    if (field == "queue") queue_ = i;
    if (field == "inflight") in_flight_ = i;
  }
}

LoadReport LoadReportReader::Read(const Report& report) const {
  LoadReport result;
  const double queue = ValueAt(report, queue_);
  const double in_service = ValueAt(report, in_flight_) - queue;
  if (queue >= 0 && queue < kMaxRequests) {
    result.queue_length = queue;
    if (queue >= 1 && in_service < kMaxRequests) result.in_service = in_service;
  }
  const double seconds = ValueAt(report, position_);
  if (!(seconds > 0 && seconds < kMaxPositionSeconds)) return result;
  // A float may have been rounded up, so the next smaller value is used.
  const double rounded_down = rounded_floats_ ? std::nextafter(static_cast<float>(seconds), 0.0F) : seconds;
  result.position = static_cast<Micros>(rounded_down * kMicrosPerSecond);
  const double role = ValueAt(report, role_);
  if (role == kPrimary) result.role = Role::kPrimary;
  if (role == kReplica) result.role = Role::kReplica;
  return result;
}

}  // namespace tulipyoke::estimates
