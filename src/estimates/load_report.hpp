// Reads the load reports of servers, whose fields are named in the settings.
#ifndef TULIPYOKE_SRC_ESTIMATES_LOAD_REPORT_HPP_
#define TULIPYOKE_SRC_ESTIMATES_LOAD_REPORT_HPP_

#include <cstddef>
#include <optional>

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// What a report says, without values that are impossible.
struct LoadReport {
  std::optional<double> queue_length;  // requests that wait
  std::optional<double> in_service;    // requests in service while others wait
  std::optional<Micros> position;      // not later than the report
  Role role = Role::kUnknown;
};

class LoadReportReader {
 public:
  explicit LoadReportReader(const Settings& settings);

  bool ReportsQueueLength() const { return queue_.has_value(); }
  LoadReport Read(const Report& report) const;

 private:
  using FieldIndex = std::optional<std::size_t>;

  bool rounded_floats_ = true;
  FieldIndex position_;
  FieldIndex role_;
  FieldIndex queue_;
  FieldIndex in_flight_;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_LOAD_REPORT_HPP_
