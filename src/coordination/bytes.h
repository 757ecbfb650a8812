#pragma once

#include <bit>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::coordination
{

static_assert(std::endian::native == std::endian::little, "the on-disk format is little-endian");

/// Appends fixed-width little-endian numbers and length-prefixed strings to a string.
class ByteWriter
{
public:
    explicit ByteWriter(std::string &out) : out_(out)
    {
    }

    template <typename Number>
    ByteWriter &number(Number value)
    {
        char raw[sizeof(Number)];
        std::memcpy(raw, &value, sizeof(Number));
        out_.append(raw, sizeof(Number));
        return *this;
    }

    ByteWriter &text(std::string_view value)
    {
        number(static_cast<std::uint32_t>(value.size()));
        out_.append(value);
        return *this;
    }

private:
    std::string &out_;
};

/// Reads what a ByteWriter wrote. Once the data is too short for a field, `ok` returns false and that field and all
/// later ones read as zero or empty.
class ByteReader
{
public:
    explicit ByteReader(std::string_view data) : data_(data)
    {
    }

    template <typename Number>
    Number number()
    {
        Number value{};
        if (!ok_ || data_.size() < sizeof(Number)) {
            ok_ = false;
            return value;
        }
        std::memcpy(&value, data_.data(), sizeof(Number));
        data_.remove_prefix(sizeof(Number));
        return value;
    }

    std::string_view text()
    {
        const auto size = number<std::uint32_t>();
        if (!ok_ || data_.size() < size) {
            ok_ = false;
            return {};
        }
        const std::string_view value = data_.substr(0, size);
        data_.remove_prefix(size);
        return value;
    }

    bool ok() const
    {
        return ok_;
    }

    /// Returns whether all fields were read and no bytes are left.
    bool finished() const
    {
        return ok_ && data_.empty();
    }

    std::size_t remaining() const
    {
        return data_.size();
    }

private:
    std::string_view data_;
    bool ok_ = true;
};

} // namespace yuccawheel::coordination
