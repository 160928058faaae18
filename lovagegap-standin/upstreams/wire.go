package upstreams

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
)

const maxControlBodyBytes = 64 << 10 // 64 KiB

func readBody(c echo.Context) ([]byte, error) {
	return io.ReadAll(io.LimitReader(c.Request().Body, maxControlBodyBytes))
}

// decodeStrict decodes a JSON body into target. It rejects unknown fields, so
// that a misspelt fault is not ignored.
func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}
