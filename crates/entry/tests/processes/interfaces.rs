//! The ports for callers and operators: HTTP versions, size limits, and the status codes and texts
//! of error responses.

use {
    crate::common::config,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, header::HeaderValue},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    marigoldbend::http::client::JsonClient,
    serde_json::json,
    stand_ins::{cluster::Cluster, workers::expected_body},
    std::time::Duration,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cleartext_http2_is_served_like_http1() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    let uri = format!(
        "http://{}/services/inspection/check?size=9",
        cluster.entries[0].callers
    );
    let request = Request::builder().uri(uri).header("x-request-id", "h2");
    let request = request.body(Full::default()).expect("a valid request");
    let response = client
        .request(request)
        .await
        .expect("the request is answered");
    assert_eq!(response.status(), StatusCode::OK);
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the body is complete");
    assert_eq!(body.to_bytes(), expected_body("h2", 9, b""));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_requests_get_a_specific_error() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let base = format!("http://{}", cluster.entries[0].callers);
    let client = JsonClient::new(Duration::from_secs(5), None);
    let send = async |method: Method, path: &str, headers: HeaderMap, body: Vec<u8>| {
        let url = format!("{base}{path}");
        let reply = client.send(method, &url, headers, body.into()).await;
        let reply = reply.expect("the request is answered");
        (
            reply.status.as_u16(),
            String::from_utf8_lossy(&reply.body).into_owned(),
        )
    };
    let no_headers = HeaderMap::new;
    let (status, body) = send(Method::GET, "/services/nowhere/x", no_headers(), Vec::new()).await;
    assert_eq!(status, 404, "{body}");
    assert!(body.contains("nowhere"), "{body}");
    let long_body = vec![b'x'; (1 << 20) + 1];
    let (status, body) = send(
        Method::POST,
        "/services/inspection/x",
        no_headers(),
        long_body,
    )
    .await;
    assert_eq!(status, 413, "{body}");
    let mut headers = HeaderMap::new();
    let long_value = "y".repeat(100 << 10);
    headers.insert(
        "x-long",
        HeaderValue::from_str(&long_value).expect("a valid value"),
    );
    let (status, _) = send(Method::GET, "/services/inspection/x", headers, Vec::new()).await;
    assert_eq!(status, 431);
    let (status, body) = send(Method::POST, "/jobs", no_headers(), b"{\"team\"".to_vec()).await;
    assert_eq!(status, 400, "{body}");
    let invalid_job = json!({ "team": "reviews", "class": "none", "run_ms": 5 });
    let (status, body) = send(
        Method::POST,
        "/jobs",
        no_headers(),
        invalid_job.to_string().into(),
    )
    .await;
    assert_eq!(status, 422, "{body}");
    assert!(body.contains("class"), "{body}");
    let (status, _) = send(Method::GET, "/jobs/1-none", no_headers(), Vec::new()).await;
    assert_eq!(status, 404);
    assert_eq!(
        cluster.workers.record.requests(),
        0,
        "a worker received a request"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_configuration_updates_get_a_specific_error() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let url = format!("http://{}/config", cluster.entries[0].operators);
    let client = JsonClient::new(Duration::from_secs(5), None);
    let current = client.get(&url).await.expect("the request is answered");
    let etag = current.headers["etag"].clone();
    let put = async |etag: Option<HeaderValue>, body: Bytes| {
        let mut headers = HeaderMap::new();
        if let Some(etag) = etag {
            headers.insert("if-match", etag);
        }
        let reply = client.send(Method::PUT, &url, headers, body).await;
        let reply = reply.expect("the request is answered");
        (
            reply.status.as_u16(),
            String::from_utf8_lossy(&reply.body).into_owned(),
        )
    };
    assert_eq!(put(None, current.body.clone()).await.0, 428);
    let outdated = HeaderValue::from_static("\"0\"");
    assert_eq!(put(Some(outdated), current.body.clone()).await.0, 412);
    let mut config: serde_json::Value = current.json().expect("the body is JSON");
    config["worker"]["slots"] = json!(0);
    let (status, body) = put(Some(etag.clone()), config.to_string().into()).await;
    assert_eq!(status, 422, "{body}");
    assert!(body.contains("worker.slots"), "{body}");
    assert_eq!(put(Some(etag), "{".into()).await.0, 400);
}
