#include "base/log.h"
#include "base/log_record.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace yuccawheel::base;

TEST(LogRecord, ParsesFieldsAndQuotedValues)
{
    const auto record = parseLogRecord(
        R"(time=2026-12-04T05:30:00.123Z level=info event=task_placed task=17.0.1 reason="no \"room\"")");
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->time, "2026-12-04T05:30:00.123Z");
    EXPECT_EQ(record->level, "info");
    EXPECT_EQ(record->event, "task_placed");
    EXPECT_EQ(record->field("task"), "17.0.1");
    EXPECT_EQ(record->field("reason"), "no \"room\"");
    EXPECT_EQ(record->field("other"), "");
}

TEST(LogRecord, RefusesMalformedAndOtherText)
{
    EXPECT_FALSE(parseLogRecord(""));
    EXPECT_FALSE(parseLogRecord("terminate called without an active exception"));
    EXPECT_FALSE(parseLogRecord("time=1 event=cut reason=\"no end"));
    EXPECT_FALSE(parseLogRecord("time=1 event=cut reason=\"\\x1\""));
    EXPECT_FALSE(parseLogRecord("level=info event=no_time"));
}

// Guards against values that LogLine escapes differently than the parser expects.
RC_GTEST_PROP(LogRecordRandom, ParsesWhatLogLineWrites, (const std::string &first, const std::string &second))
{
    testing::internal::CaptureStdout();
    logError("event").with("first", first).with("second", second);
    std::string line = testing::internal::GetCapturedStdout();
    RC_ASSERT((!line.empty() && line.back() == '\n'));
    line.pop_back();
    const auto record = parseLogRecord(line);
    RC_ASSERT(record.has_value());
    RC_ASSERT(record->field("first") == first);
    RC_ASSERT(record->field("second") == second);
}
