#include "settings/token_file.h"

#include <fmt/core.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace yuccawheel::settings;

namespace
{

namespace fs = std::filesystem;

class TokenFileTest : public testing::Test
{
protected:
    TokenFileTest()
    {
        std::string pattern = (fs::temp_directory_path() / "yw-token-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
        file_ = (folder_ / "token").string();
    }
    ~TokenFileTest() override
    {
        fs::remove_all(folder_);
    }
    /// Replaces the file by renaming a new one, as operators' tools do.
    void write(const std::string &text, fs::perms mode = fs::perms::owner_read) const
    {
        const std::string temporary = file_ + ".new";
        std::ofstream(temporary) << text;
        fs::permissions(temporary, mode);
        fs::rename(temporary, file_);
    }

    fs::path folder_;
    std::string file_;
};

const std::string Old = "old-token-0123456789";
const std::string New = "new-token-0123456789";

} // namespace

TEST_F(TokenFileTest, tokenIsRotatedWithoutRestart)
{
    write(Old + "\n");
    TokenFile tokens(file_);
    EXPECT_TRUE(tokens.matches(Old));
    EXPECT_FALSE(tokens.matches(New));
    write(New + "\n" + Old + "\n");
    EXPECT_TRUE(tokens.matches(Old));
    EXPECT_TRUE(tokens.matches(New));
    write(New);
    EXPECT_FALSE(tokens.matches(Old));
    EXPECT_TRUE(tokens.matches(New));
}

TEST_F(TokenFileTest, unusableFileMakesAllTokensInvalid)
{
    TokenFile tokens(file_);
    EXPECT_FALSE(tokens.matches(""));
    write(Old, fs::perms::owner_read | fs::perms::others_read);
    EXPECT_FALSE(tokens.matches(Old));
    EXPECT_NE(tokens.error().find("0404"), std::string::npos) << tokens.error();
    fs::permissions(file_, fs::perms::owner_read);
    EXPECT_TRUE(tokens.matches(Old));
    const std::string three = fmt::format("{}\n{}\n{}", Old, New, Old);
    for (const std::string &text : {std::string("short"), Old + "\n\n", three, Old + " x"}) {
        write(text);
        EXPECT_FALSE(tokens.matches(Old)) << text;
        EXPECT_EQ(tokens.error().find(Old), std::string::npos);
    }
    fs::remove(file_);
    EXPECT_FALSE(tokens.matches(Old));
    fs::create_directory(file_);
    EXPECT_FALSE(tokens.matches(Old));
}

RC_GTEST_PROP(TokenComparison, agreesWithOperatorEquals, (const std::string &left))
{
    const auto right = *rc::gen::oneOf(rc::gen::just(left), rc::gen::arbitrary<std::string>());
    RC_ASSERT(equalInConstantTime(left, right) == (left == right));
    RC_ASSERT(equalInConstantTime(left, left + '\0') == false);
}
