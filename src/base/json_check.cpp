#include "base/json_check.h"

#include <nlohmann/json.hpp>

namespace yuccawheel::base
{

namespace
{

constexpr std::size_t SmallText = std::size_t{64} * 1024; ///< Can't become a large document.
constexpr std::size_t MaxValues = 500'000; ///< Some 40 MB. A configuration of 4 MiB has fewer.

/// Checks that a document is valid and within the limit without building it. Depth needs no limit of its own: an odd
/// row of a list must not hide the others.
class DocumentChecker : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override
    {
        return addValue();
    }
    bool boolean(bool /*value*/) override
    {
        return addValue();
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return addValue();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return addValue();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return addValue();
    }
    bool string(string_t & /*value*/) override
    {
        return addValue();
    }
    bool binary(binary_t & /*value*/) override
    {
        return addValue();
    }
    bool start_object(std::size_t /*size*/) override
    {
        return addValue();
    }
    bool key(string_t & /*name*/) override
    {
        return true;
    }
    bool end_object() override
    {
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        return addValue();
    }
    bool end_array() override
    {
        return true;
    }
    bool parse_error(std::size_t /*position*/,
                     const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    bool addValue()
    {
        return ++values_ <= MaxValues;
    }

    std::size_t values_ = 0;
};

} // namespace

bool isParsableJson(std::string_view text)
{
    DocumentChecker checker;
    return text.size() <= SmallText || nlohmann::json::sax_parse(text, &checker);
}

} // namespace yuccawheel::base
