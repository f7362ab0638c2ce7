#include "src/policy/admission.hpp"

#include <algorithm>

namespace tulipyoke::policy {

Admission::Admission(endpoints::RoutingContext& context, endpoints::EndpointTable& table)
    : context_(context), table_(table), retry_detectors_(context.settings.classes.size()) {}

double Admission::PriorityOf(int class_index, Micros client_timeout) {
  const ClassSettings& c = context_.ClassOf(class_index);
  limits::RetryDetector& detector = retry_detectors_[static_cast<std::size_t>(class_index)];
  const bool late = detector.IsLateRetry(client_timeout, c.latency_objective);
  return c.priority_weight * (late ? c.late_weight : 1);
}

bool Admission::ShouldShed(Request& read, Micros now) {
  if (!read.admission_decided) {
    limits::AdmissionControl& control = table_.GroupAt(read.group).admission;
    read.shed =
        control.ShouldReject(now, context_.scales.decay_time, read.priority, context_.random.NextDouble());
  }
  read.admission_decided = true;
  return read.shed;
}

bool Admission::MayUseHeadroom(const Request& read, Micros now) {
  const endpoints::Group& group = table_.GroupAt(read.group);
  if (read.queue_checks > 0 && read.queue_check_server == group.primary) return true;
  const double share = group.headroom.Share(now, context_.scales.decay_time, context_.settings.router_count);
  return context_.random.NextDouble() < share;
}

bool Admission::HasReplicaWithinBound(const Request& read, Micros now) const {
  const endpoints::Group& group = table_.GroupAt(read.group);
  const Micros bound = context_.ClassOf(read.class_index).staleness_bound;
  const Micros oldest = context_.PositionAt(now - context_.scales.longest_deadline) - bound;
  return std::any_of(group.members.begin(), group.members.end(), [&](ServerId id) {
    return id != group.primary && table_.At(id).position.value() >= oldest;
  });
}

bool Admission::AdmitsAllReads(int group, Micros now) const {
  return table_.GroupAt(group).admission.AdmittedShare(now, context_.scales.decay_time) >= 1;
}

}  // namespace tulipyoke::policy
