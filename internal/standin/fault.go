package standin

import (
	"encoding/json"
	"net/http"
)

// faultHandler returns a handler that decodes faults and hands them on.
func faultHandler[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
	}
}
