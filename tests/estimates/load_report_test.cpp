// Tests of load reports with fields in any order and with impossible values.
#include "src/estimates/load_report.hpp"

#include <gtest/gtest.h>

#include <limits>

#include "tests/router_harness.hpp"

namespace tulipyoke::estimates {
namespace {

LoadReportReader ReaderOf(std::vector<std::string> fields, bool floats = false) {
  Settings settings;
  settings.report_fields = std::move(fields);
  settings.reports_are_floats = floats;
  return LoadReportReader(settings);
}

TEST(LoadReport, FieldsAreFoundByName) {
  const LoadReport report = ReaderOf({"inflight", "x1", "other", "queue", "x0"}).Read({9, 1, 77, 4, 2.5});
  EXPECT_EQ(report.queue_length, 4);
  EXPECT_EQ(report.in_service, 5);
  EXPECT_EQ(report.position, 2'500'000);
  EXPECT_EQ(report.role, Role::kPrimary);
}

TEST(LoadReport, MissingFieldsHaveNoValue) {
  const LoadReportReader reader = ReaderOf({"x0", "x1", "queue", "inflight"});
  EXPECT_TRUE(reader.ReportsQueueLength());
  EXPECT_FALSE(ReaderOf({"x0", "x1"}).ReportsQueueLength());
  const LoadReport report = reader.Read({});
  EXPECT_FALSE(report.queue_length);
  EXPECT_FALSE(report.in_service);
  EXPECT_FALSE(report.position);
  EXPECT_EQ(report.role, Role::kUnknown);
  EXPECT_FALSE(reader.Read({2.5, 0, 0, 3}).in_service);  // no request waits
}

// Guards against a replica that is considered fresh or overloaded because of an impossible value.
TEST(LoadReport, ImpossibleValuesAreIgnored) {
  const LoadReportReader reader = ReaderOf({"x0", "x1", "queue", "inflight"});
  for (const double value : {-5.0, 0.0, 1e30, std::numeric_limits<double>::quiet_NaN()}) {
    const LoadReport report = reader.Read({value, 1, -1, 0});
    EXPECT_FALSE(report.position) << value;
    EXPECT_EQ(report.role, Role::kUnknown) << value;
    EXPECT_FALSE(report.queue_length) << value;
  }
  EXPECT_FALSE(reader.Read({1, 0, 1e7, 0}).queue_length);
}

// Guards against a position that was rounded up to a float.
TEST(LoadReport, FloatPositionIsReplacedByTheNextSmallerFloat) {
  const LoadReport report = ReaderOf({"x0"}, true).Read({static_cast<double>(100.7F)});
  EXPECT_LT(report.position, static_cast<Micros>(100.7F * 1e6));
  EXPECT_GT(report.position, 100'699'900);
}

}  // namespace
}  // namespace tulipyoke::estimates
